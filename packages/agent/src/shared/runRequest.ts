/**
 * Runs one attempt of a request: admission, the call to the backend server and the events of the answer.
 *
 * @packageDocumentation
 */

import { AbortedError, errorMessage, isFaultSeeded } from "@magnolialock/kernel";
import { RefusalReason, type RunEvent, type RunRequest } from "@magnolialock/protocol";
import { BackendRefusedError } from "../types/backend.ts";
import type { AgentContext } from "./agentContext.ts";
import { requestBroken, requestFinished, requestRefused, requestStarted } from "./agentEvents.ts";
import { AnswerWriter } from "./answerWriter.ts";
import { BackendCall } from "./backendCall.ts";
import { RefusedError } from "./refusedError.ts";

/** Options of {@link runRequest}. */
export interface RunRequestOptions {
    /** Withdraws the request before its start; later cancels the call unless `runsToCompletion` is set. */
    readonly signal: AbortSignal;
    /** Whether the call continues after the caller is gone. */
    readonly runsToCompletion?: boolean;
    /** Called immediately before the request is sent to the backend server. */
    readonly onStart?: () => void;
}

const refuseRequest = (
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

/**
 * Reports the outcome of a failed call. It is reported as not run only if it is certain that the backend
 * server did not start it; otherwise its outcome is unknown.
 */
const reportFailure = (
    context: AgentContext,
    writer: AnswerWriter,
    request: RunRequest,
    call: BackendCall,
    error: unknown,
): RunEvent => {
    const message = errorMessage(error);
    if (error instanceof BackendRefusedError || isFaultSeeded("agent.false-not-run")) {
        context.latencyLimit.recordRefusal(context.calls.running);
        if (error instanceof BackendRefusedError && !error.isReachable) {
            context.lease.revoke("broken connection");
        }
        const retryAfterMs = context.admission.retryAfterMs();
        const props = { reason: RefusalReason.BACKEND_REFUSED, retryAfterMs };
        return refuseRequest(context, writer, request, new RefusedError(message, { props }));
    }
    if (!call.isCancelled) {
        context.lease.revoke("broken connection");
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
 * Runs one attempt and reports its outcome.
 *
 * @param context - state of the agent
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
        yield refuseRequest(context, writer, request, error);
        return;
    }
    using _slot = slot;
    options.onStart?.();
    using call = new BackendCall(context, request, options.runsToCompletion ? undefined : options.signal);
    const queuedMs = Math.round(clock.nowMs() - arrivedMs);
    events.emit(requestStarted, { requestId, attempt, queuedMs, running: context.admission.running });
    metrics.timing("agent.queue_time", queuedMs);
    context.recordQueueTime(queuedMs);
    try {
        yield writer.write({ case: "admitted", value: { incarnation: context.incarnation, queuedMs } });
        for await (const event of call.read()) {
            yield writer.writeBackendEvent(event);
        }
        events.emit(requestFinished, { requestId });
    }
    catch (error) {
        yield reportFailure(context, writer, request, call, error);
    }
}
