/**
 * Client side of a session: multiplexes attempts to one agent over one HTTP/2 stream, not one stream each.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Client, ConnectError } from "@connectrpc/connect";
import { AbortedError, AsyncQueue, readBatches, UnreachableError } from "@magnolialock/kernel";
import {
    type AgentService,
    type RunEvent,
    type RunRequest,
    type SessionEvent,
    type SessionRequest,
    type SessionRequestBatch,
    SessionRequestBatchSchema,
    SessionRequestSchema,
} from "@magnolialock/protocol";

const MAX_REQUESTS_PER_BATCH = 256;

async function* toBatches(requests: AsyncQueue<SessionRequest>): AsyncGenerator<SessionRequestBatch> {
    for await (const batch of readBatches(requests, MAX_REQUESTS_PER_BATCH)) {
        yield create(SessionRequestBatchSchema, { requests: batch });
    }
}

/** One stream of the session. When it breaks, all calls on it fail. */
class SessionStream {
    public isOpen = true;
    private readonly requests = new AsyncQueue<SessionRequest>();
    private readonly calls = new Map<number, AsyncQueue<RunEvent>>();
    private readonly closeController = new AbortController();
    private nextCall = 1;

    public constructor(private readonly client: Client<typeof AgentService>) {
        void this.receive();
    }

    public run(request: RunRequest, signal: AbortSignal): AsyncIterable<RunEvent> {
        const call = this.nextCall++;
        const cancel = (): void => {
            signal.removeEventListener("abort", onAbort);
            if (this.calls.delete(call)) {
                this.send({ call, request: { case: "cancel", value: {} } });
            }
        };
        const events = new AsyncQueue<RunEvent>(cancel);
        const onAbort = (): void => {
            events.fail(new AbortedError("the attempt was given up"));
            cancel();
        };
        signal.addEventListener("abort", onAbort, { once: true });
        this.calls.set(call, events);
        this.send({ call, request: { case: "run", value: request } });
        return events;
    }

    public close(): void {
        this.isOpen = false;
        this.requests.close();
        this.closeController.abort();
    }

    private send(request: Parameters<typeof create<typeof SessionRequestSchema>>[1]): void {
        this.requests.push(create(SessionRequestSchema, request));
    }

    private async receive(): Promise<void> {
        let failure = new UnreachableError("the agent ended the session");
        try {
            const batches = this.client.session(toBatches(this.requests), {
                signal: this.closeController.signal,
            });
            for await (const { events } of batches) {
                events.forEach(event => this.deliver(event));
            }
        }
        catch (error) {
            failure = new UnreachableError(ConnectError.from(error).message, { cause: error });
        }
        this.isOpen = false;
        this.requests.close();
        for (const events of this.calls.values()) {
            events.fail(failure);
        }
        this.calls.clear();
    }

    /** Dispatches an event to its call; events of aborted calls are dropped. */
    private deliver({ call, event }: SessionEvent): void {
        const events = this.calls.get(call);
        if (event.case === "run") {
            events?.push(event.value);
        }
        else if (event.case === "end") {
            this.calls.delete(call);
            if (event.value.error !== "") {
                events?.fail(new UnreachableError(event.value.error));
            }
            events?.close();
        }
    }
}

/** Runs attempts over one stream, which is opened on first use and reopened after it broke. */
export class AgentSession implements Disposable {
    private stream: SessionStream | undefined;

    /** @param client - RPC client of the agent */
    public constructor(private readonly client: Client<typeof AgentService>) {}

    /**
     * Runs one attempt.
     *
     * @param request - message of the attempt
     * @param signal - aborts the attempt
     * @returns the events of the answer; the iterable throws when the agent is unreachable
     */
    public run(request: RunRequest, signal: AbortSignal): AsyncIterable<RunEvent> {
        if (!this.stream?.isOpen) {
            this.stream = new SessionStream(this.client);
        }
        return this.stream.run(request, signal);
    }

    /** Closes the stream. */
    public [Symbol.dispose](): void {
        this.stream?.close();
    }
}
