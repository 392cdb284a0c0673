/**
 * Handler of the call by which operators read the events of this process.
 *
 * @packageDocumentation
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { AsyncQueue, type EventLog, type EventRecord, toTimelineEntry } from "@magnolialock/kernel";
import type { ReadTimelineRequest, TimelineEventSchema } from "@magnolialock/protocol";

const toMessage = (record: EventRecord): MessageInitShape<typeof TimelineEventSchema> => {
    const { time, ...entry } = toTimelineEntry(record);
    return { ...entry, fields: { ...entry.fields }, wallMs: time.wallMs, counter: time.counter };
};

/**
 * Streams the events that this process keeps in memory and, if requested, new ones as they occur.
 *
 * @param events - event log of the process
 * @param request - the request, which tells whether to follow new events
 * @param signal - aborts when the reader disconnects
 * @returns the events, oldest first
 */
export async function* readTimeline(
    events: EventLog,
    request: ReadTimelineRequest,
    signal: AbortSignal,
): AsyncGenerator<MessageInitShape<typeof TimelineEventSchema>> {
    const newEvents = new AsyncQueue<EventRecord>();
    using _subscription = events.subscribe(record => newEvents.push(record));
    signal.addEventListener("abort", () => newEvents.close(), { once: true });
    for (const record of events.recent()) {
        yield toMessage(record);
    }
    if (!request.follow || signal.aborted) {
        return;
    }
    for await (const record of newEvents) {
        yield toMessage(record);
    }
}
