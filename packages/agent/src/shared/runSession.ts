/**
 * Server side of a session, which multiplexes many attempts of one entry over one stream.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { AsyncQueue, errorMessage, readBatches } from "@magnolialock/kernel";
import {
    type RunEvent,
    type RunRequest,
    type SessionEvent,
    type SessionEventBatch,
    SessionEventBatchSchema,
    SessionEventSchema,
    type SessionRequest,
    type SessionRequestBatch,
} from "@magnolialock/protocol";

/** Runs one attempt, in the same way as the `Run` method. */
export type RunHandler = (request: RunRequest, signal: AbortSignal) => AsyncIterable<RunEvent>;

/** Options of {@link runSession}. */
export interface RunSessionOptions {
    /** Batches of requests from the entry. */
    readonly requests: AsyncIterable<SessionRequestBatch>;
    /** Runs one attempt. */
    readonly run: RunHandler;
    /** Ends the session when the entry is gone or the agent stops. */
    readonly signal: AbortSignal;
}

const MAX_EVENTS_PER_BATCH = 512;

/** Open calls of one session. */
class SessionCalls {
    public readonly events = new AsyncQueue<SessionEvent>();
    private readonly calls = new Map<number, AbortController>();

    public constructor(private readonly run: RunHandler) {}

    public handle({ call, request }: SessionRequest): void {
        switch (request.case) {
            case "run":
                void this.serveCall(call, request.value);
                break;
            case "cancel":
                this.calls.get(call)?.abort();
                break;
            case undefined:
                this.end(call, "the request is of a kind that this agent does not know");
                break;
        }
    }

    public abortAll(): void {
        for (const controller of this.calls.values()) {
            controller.abort();
        }
    }

    private async serveCall(call: number, request: RunRequest): Promise<void> {
        const controller = new AbortController();
        this.calls.set(call, controller);
        try {
            for await (const event of this.run(request, controller.signal)) {
                this.events.push(create(SessionEventSchema, { call, event: { case: "run", value: event } }));
            }
            this.end(call, "");
        }
        catch (error) {
            this.end(call, errorMessage(error));
        }
        finally {
            this.calls.delete(call);
        }
    }

    private end(call: number, error: string): void {
        this.events.push(create(SessionEventSchema, { call, event: { case: "end", value: { error } } }));
    }
}

const readRequests = async (options: RunSessionOptions, calls: SessionCalls): Promise<void> => {
    try {
        for await (const { requests } of options.requests) {
            requests.forEach(request => calls.handle(request));
        }
    }
    finally {
        calls.abortAll();
        calls.events.close();
    }
};

/**
 * Serves a session until the entry ends it or the signal aborts.
 *
 * @param options - requests, handler and signal
 * @returns batches of events
 */
export async function* runSession(options: RunSessionOptions): AsyncGenerator<SessionEventBatch> {
    const calls = new SessionCalls(options.run);
    options.signal.addEventListener("abort", () => calls.events.close(), { once: true });
    readRequests(options, calls).catch(() => calls.events.close());
    for await (const events of readBatches(calls.events, MAX_EVENTS_PER_BATCH)) {
        yield create(SessionEventBatchSchema, { events });
    }
}
