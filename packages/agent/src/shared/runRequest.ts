/**
 * The task of one request in the agent: admission, the call to the backend server, and the answer's events.
 *
 * @packageDocumentation
 */

import { AbortedError, errorMessage, isFaultSeeded } from "@magnolialock/kernel";
import { RefusalReason, type RunEvent, type RunRequest } from "@magnolialock/protocol";
import {
    BackendBrokenError,
    type BackendEvent,
    BackendRefusedError,
    type BackendRequest,
} from "../types/backend.ts";
import type { AgentContext } from "./agentContext.ts";
import { requestBroken, requestFinished, requestRefused, requestStarted } from "./agentEvents.ts";
import { AnswerWriter } from "./answerWriter.ts";
import type { CallMeter } from "./callMeter.ts";
import { RefusedError } from "./refusedError.ts";

/** Options of {@link runRequest}. */
export interface RunRequestOptions {
    /** Gives the request up before its start, and ends the call after it unless `runsToEnd` is set. */
    readonly signal: AbortSignal;
    /** Whether the call goes on when nobody waits for it any more. */
    readonly runsToEnd?: boolean;
    /** Called right before the request is handed to the backend server. */
    readonly onStart?: () => void;
}

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

/** The call of one attempt that has a slot. */
class BackendCall implements Disposable {
    private readonly stop = new AbortController();
    private readonly events: AsyncGenerator<BackendEvent>;
    private readonly meter: CallMeter;
    private readonly onAbort = (): void => this.stop.abort(new AbortedError("the call was ended"));
    private nextEvent: Promise<IteratorResult<BackendEvent>>;
    private status = 0;
    private isWhole = false;

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

const refuse = (
    context: AgentContext,
    writer: AnswerWriter,
    request: RunRequest,
    error: unknown,
): RunEvent => {
    const refused = error instanceof RefusedError
        ? error
        : new RefusedError(errorMessage(error), { props: { reason: RefusalReason.RECALLED } });
    const { reason, message, retryAfterMs } = refused;
    context.runtime.events.emit(requestRefused, {
        requestId: request.requestId,
        reason: RefusalReason[reason],
        message,
        retryAfterMs,
    });
    context.runtime.metrics.increment("agent.refused", 1, { reason: RefusalReason[reason] });
    return writer.write({ case: "refused", value: { reason, message, retryAfterMs } });
};

/** Tells how a failed call ended. Only a backend server that surely did not start it permits "not run". */
const describeFailure = (
    context: AgentContext,
    writer: AnswerWriter,
    request: RunRequest,
    call: BackendCall,
    error: unknown,
): RunEvent => {
    const message = errorMessage(error);
    if (error instanceof BackendRefusedError || isFaultSeeded("agent.false-not-run")) {
        context.latencyLimit.noteRefused(context.calls.running);
        if (error instanceof BackendRefusedError && !error.isReachable) {
            context.lease.fall("broken connection");
        }
        const retryAfterMs = context.admission.retryAfterMs();
        const props = { reason: RefusalReason.BACKEND_REFUSED, retryAfterMs };
        return refuse(context, writer, request, new RefusedError(message, { props }));
    }
    if (!call.isEnded) {
        context.lease.fall("broken connection");
    }
    context.runtime.events.emit(requestBroken, { requestId: request.requestId, message });
    return writer.write({ case: "unknown", value: { message } });
};

const admit = async (
    context: AgentContext,
    request: RunRequest,
    signal: AbortSignal,
): Promise<Disposable> => {
    const { clock } = context.runtime;
    context.checkAdmissible(request);
    const slot = await context.admission.acquire({
        priority: request.priority,
        account: request.clientAccount,
        weight: request.accountWeight,
        deadlineMs: clock.nowMs() + request.remainingMs,
        signal,
    });
    try {
        if (signal.aborted) {
            throw new AbortedError("the request was given up before it started");
        }
        context.gate.check();
        return slot;
    }
    catch (error) {
        slot[Symbol.dispose]();
        throw error;
    }
};

/**
 * Runs one attempt.
 *
 * @param context - the agent
 * @param request - the attempt
 * @param options - signal and callbacks
 * @returns the events of the answer; the last is `end`, `refused` or `unknown`
 */
export async function* runRequest(
    context: AgentContext,
    request: RunRequest,
    options: RunRequestOptions,
): AsyncGenerator<RunEvent> {
    const { clock, events, metrics } = context.runtime;
    const { requestId, attempt } = request;
    const writer = new AnswerWriter(request);
    const arrivedMs = clock.nowMs();
    let slot: Disposable;
    try {
        slot = await admit(context, request, options.signal);
    }
    catch (error) {
        yield refuse(context, writer, request, error);
        return;
    }
    using _slot = slot;
    options.onStart?.();
    using call = new BackendCall(context, request, options.runsToEnd ? undefined : options.signal);
    const queuedMs = Math.round(clock.nowMs() - arrivedMs);
    events.emit(requestStarted, { requestId, attempt, queuedMs, running: context.admission.running });
    metrics.timing("agent.queue_time", queuedMs);
    context.noteQueueTime(queuedMs);
    try {
        yield writer.write({ case: "admitted", value: { incarnation: context.incarnation, queuedMs } });
        for await (const event of call.read()) {
            yield writer.writeBackendEvent(event);
        }
        events.emit(requestFinished, { requestId });
    }
    catch (error) {
        yield describeFailure(context, writer, request, call, error);
    }
}
