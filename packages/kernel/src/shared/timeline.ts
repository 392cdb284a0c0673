/**
 * Time line: the events of several processes, merged in causal order.
 *
 * @packageDocumentation
 */

import type { EventRecord } from "./events.ts";
import { compareHybridTimes, type HybridTime } from "./hybridClock.ts";

/** One event of a time line. */
export interface TimelineEntry {
    /** Hybrid logical time of the event; causally ordered across all processes. */
    readonly time: HybridTime;
    /** Process that logged it. */
    readonly instance: string;
    /** Number of the kind of event. */
    readonly number: number;
    /** Name of the kind of event. */
    readonly name: string;
    /** Details of the event, as text. */
    readonly fields: Readonly<Record<string, string>>;
}

/**
 * Converts an event to an entry of the time line.
 *
 * @param record - the event
 * @returns the entry
 */
export const toTimelineEntry = (record: EventRecord): TimelineEntry => ({
    time: record.time,
    instance: record.instance,
    number: record.definition.number,
    name: record.definition.name,
    fields: Object.fromEntries(
        Object.entries(record.fields)
            .filter(([, value]) => value !== undefined)
            .map(([key, value]) => [key, String(value)]),
    ),
});

/**
 * Compares two entries by hybrid time, then by process name.
 *
 * @param left - one entry
 * @param right - the other
 * @returns negative, zero or positive
 */
export const compareTimelineEntries = (left: TimelineEntry, right: TimelineEntry): number =>
    compareHybridTimes(left.time, right.time) || (left.instance < right.instance ? -1 : 1);

/**
 * Formats an entry as one line.
 *
 * @param entry - the entry
 * @returns time with counter, process, number, name and details
 */
export const formatTimelineEntry = (entry: TimelineEntry): string => {
    const time = new Date(entry.time.wallMs).toISOString().slice("yyyy-mm-ddT".length, -1);
    const fields = Object.entries(entry.fields).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
    return [`${time}.${entry.time.counter}`, entry.instance, `E${entry.number}`, entry.name, ...fields].join(
        " ",
    );
};
