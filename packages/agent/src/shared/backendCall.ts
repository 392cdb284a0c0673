/**
 * The call to the backend server for one attempt.
 *
 * @packageDocumentation
 */

import { AbortedError, type Timer } from "@magnolialock/kernel";
import type { RunRequest } from "@magnolialock/protocol";
import { BackendBrokenError, type BackendEvent, type BackendRequest } from "../types/backend.ts";
import type { AgentContext } from "./agentContext.ts";
import type { CallMeter } from "./callMeter.ts";

const FIRST_ERROR_STATUS = 500;
/**
 * Time after that of its caller for which a call that runs to completion may go on, in milliseconds: a server that has
 * stalled would hold its slot for ever, also if it sends a byte now and then.
 */
const COMPLETION_GRACE_MS = 10_000;
const IDEMPOTENCY_HEADER = "idempotency-key";

/**
 * Adds the ticket as idempotency key, which gives a backend server that supports such keys one more way to
 * detect a repeated call.
 */
const headersOf = (request: RunRequest): [string, string][] => {
    const headers = request.headers.map(({ name, value }): [string, string] => [name, value]);
    const hasKey = headers.some(([name]) => name.toLowerCase() === IDEMPOTENCY_HEADER);
    if (request.ticket !== "" && !hasKey) {
        headers.push([IDEMPOTENCY_HEADER, request.ticket]);
    }
    return headers;
};

const toBackendRequest = (request: RunRequest, isModel: boolean): BackendRequest => ({
    requestId: request.requestId,
    method: request.method,
    path: request.path,
    headers: headersOf(request),
    body: request.body,
    isModel,
    resumeFromToken: request.resumeFromToken,
    resumedText: request.resumedText,
});

/** Defers an error that `run` throws synchronously to the first read of the stream. */
async function* streamBackend(
    context: AgentContext,
    request: BackendRequest,
    signal: AbortSignal,
): AsyncGenerator<BackendEvent> {
    yield* context.backend.run(request, signal);
}

/** The call of an admitted attempt. Disposing it cancels the call if its answer is not complete. */
export class BackendCall implements Disposable {
    private readonly controller = new AbortController();
    private readonly events: AsyncGenerator<BackendEvent>;
    private readonly meter: CallMeter;
    private readonly cancel = (): void => this.controller.abort(new AbortedError("the call was ended"));
    private readonly timeout: Timer;
    private nextEvent: Promise<IteratorResult<BackendEvent>>;
    private status = 0;
    private isComplete = false;

    /**
     * Sends the request to the backend server at once.
     *
     * @param context - state of the agent
     * @param request - the attempt
     * @param callerSignal - cancels the call; undefined for a call that runs to completion
     */
    public constructor(
        private readonly context: AgentContext,
        request: RunRequest,
        private readonly callerSignal: AbortSignal | undefined,
    ) {
        const isModel = context.isModelService(request.service);
        callerSignal?.addEventListener("abort", this.cancel, { once: true });
        context.callCancellers.add(this.cancel);
        const limitMs = request.remainingMs + (callerSignal ? 0 : COMPLETION_GRACE_MS);
        this.timeout = context.runtime.clock.setTimer(
            limitMs,
            () => this.controller.abort(new AbortedError("the time for the call is over")),
        );
        this.meter = context.calls.start({ priority: request.priority, isModel });
        this.events = streamBackend(context, toBackendRequest(request, isModel), this.controller.signal);
        // Starts the call now, not at the consumer's first read: the checks that allowed it hold only now.
        this.nextEvent = this.events.next();
        this.nextEvent.catch(() => {});
    }

    /** Whether the call was cancelled by this side. */
    public get isCancelled(): boolean {
        return this.controller.signal.aborted;
    }

    /**
     * Reads the answer.
     *
     * @returns parts of the answer; the last is the `end` event
     * @throws BackendRefusedError or BackendBrokenError if the answer is not complete
     */
    public async *read(): AsyncGenerator<BackendEvent> {
        for (;;) {
            const { value, done } = await this.nextEvent;
            if (done) {
                throw new BackendBrokenError("the backend server's answer has no end");
            }
            this.measure(value);
            yield value;
            if (value.kind === "end") {
                return;
            }
            this.nextEvent = this.events.next();
        }
    }

    /** Ends the measurement and, if the answer is not complete, cancels the call. */
    public [Symbol.dispose](): void {
        this.timeout.cancel();
        this.callerSignal?.removeEventListener("abort", this.cancel);
        this.context.callCancellers.delete(this.cancel);
        this.meter.finish(this.isComplete && this.status < FIRST_ERROR_STATUS);
        if (!this.isComplete) {
            this.cancel();
        }
        this.events.return(undefined).catch(() => {});
    }

    private measure(event: BackendEvent): void {
        switch (event.kind) {
            case "head":
                this.status = event.status;
                break;
            case "tokens":
                this.meter.recordTokens(event.texts.length);
                break;
            case "end":
                this.isComplete = true;
                break;
            case "body":
                break;
        }
    }
}
