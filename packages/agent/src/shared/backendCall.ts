/**
 * The call to the backend server that one attempt makes.
 *
 * @packageDocumentation
 */

import { AbortedError } from "@magnolialock/kernel";
import type { RunRequest } from "@magnolialock/protocol";
import { BackendBrokenError, type BackendEvent, type BackendRequest } from "../types/backend.ts";
import type { AgentContext } from "./agentContext.ts";
import type { CallMeter } from "./callMeter.ts";

const FIRST_ERROR_STATUS = 500;
const IDEMPOTENCY_HEADER = "idempotency-key";

/** Gives a backend server that knows idempotency keys one more way to notice a repeated call. */
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

/** Turns an error that the backend server's client throws at the call itself into one of the stream. */
async function* streamBackend(
    context: AgentContext,
    request: BackendRequest,
    signal: AbortSignal,
): AsyncGenerator<BackendEvent> {
    yield* context.backend.run(request, signal);
}

/** The call of one attempt that has a slot. Disposing it ends the call if it still runs. */
export class BackendCall implements Disposable {
    private readonly stop = new AbortController();
    private readonly events: AsyncGenerator<BackendEvent>;
    private readonly meter: CallMeter;
    private readonly onAbort = (): void => this.stop.abort(new AbortedError("the call was ended"));
    private nextEvent: Promise<IteratorResult<BackendEvent>>;
    private status = 0;
    private isWhole = false;

    /**
     * Hands the request to the backend server at once.
     *
     * @param context - the agent
     * @param request - the attempt
     * @param callerSignal - ends the call early; undefined for a call that runs to its end
     */
    public constructor(
        private readonly context: AgentContext,
        request: RunRequest,
        private readonly callerSignal: AbortSignal | undefined,
    ) {
        const isModel = context.isModelService(request.service);
        callerSignal?.addEventListener("abort", this.onAbort, { once: true });
        context.callEndings.add(this.onAbort);
        this.meter = context.calls.start({ priority: request.priority, isModel });
        this.events = streamBackend(context, toBackendRequest(request, isModel), this.stop.signal);
        // Asked for at once: the consumer of the answer must not delay the start behind the checks.
        this.nextEvent = this.events.next();
        this.nextEvent.catch(() => {});
    }

    /** Whether the call was ended from this side. */
    public get isEnded(): boolean {
        return this.stop.signal.aborted;
    }

    /**
     * Reads the answer.
     *
     * @returns its pieces; the last is the end
     * @throws BackendRefusedError or BackendBrokenError when the answer is not whole
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

    /** Ends the measurement and, if the answer is not whole, the call. */
    public [Symbol.dispose](): void {
        this.callerSignal?.removeEventListener("abort", this.onAbort);
        this.context.callEndings.delete(this.onAbort);
        this.meter.finish(this.isWhole && this.status < FIRST_ERROR_STATUS);
        if (!this.isWhole) {
            this.onAbort();
        }
        this.events.return(undefined).catch(() => {});
    }

    private measure(event: BackendEvent): void {
        switch (event.kind) {
            case "head":
                this.status = event.status;
                break;
            case "tokens":
                this.meter.noteTokens(event.texts.length);
                break;
            case "end":
                this.isWhole = true;
                break;
            case "body":
                break;
        }
    }
}
