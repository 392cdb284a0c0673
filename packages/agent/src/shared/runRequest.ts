/**
 * The task of one request in the agent: admission, the call to the backend server, and the answer's events.
 *
 * @packageDocumentation
 */

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { errorMessage } from "@magnolialock/kernel";
import { type RunEvent, RunEventSchema, type RunRequest } from "@magnolialock/protocol";
import { match } from "ts-pattern";
import { type BackendEvent, BackendRefusedError, type BackendRequest } from "../types/backend.ts";
import type { AgentContext } from "./agentContext.ts";
import { requestBroken, requestFinished, requestRefused, requestStarted } from "./agentEvents.ts";
import { RefusedError } from "./refusedError.ts";

type EventPayload = MessageInitShape<typeof RunEventSchema>["event"];

/** Numbers the events of one attempt. */
class AnswerWriter {
    private sequence = 0;
    private tokens: number;
    private bodyBytes = 0;

    public constructor(private readonly request: RunRequest) {
        this.tokens = request.resumeFromToken;
    }

    public write(event: EventPayload): RunEvent {
        return create(RunEventSchema, {
            requestId: this.request.requestId,
            attempt: this.request.attempt,
            sequence: this.sequence++,
            event,
        });
    }

    public writeBackendEvent(event: BackendEvent): RunEvent {
        return match(event)
            .with({ kind: "head" }, ({ status, headers }) =>
                this.write({
                    case: "head",
                    value: { status, headers: headers.map(([name, value]) => ({ name, value })) },
                }))
            .with({ kind: "tokens" }, ({ texts }) => {
                const firstToken = this.tokens;
                this.tokens += texts.length;
                return this.write({ case: "tokens", value: { firstToken, texts: [...texts] } });
            })
            .with({ kind: "body" }, ({ bytes }) => {
                this.bodyBytes += bytes.length;
                return this.write({ case: "body", value: { bytes } });
            })
            .with({ kind: "end" }, ({ finishReason }) =>
                this.write({
                    case: "end",
                    value: { totalTokens: this.tokens, finishReason, bodyBytes: BigInt(this.bodyBytes) },
                }))
            .exhaustive();
    }
}

const toBackendRequest = (request: RunRequest, isModel: boolean): BackendRequest => ({
    requestId: request.requestId,
    method: request.method,
    path: request.path,
    headers: request.headers.map(({ name, value }) => [name, value] as const),
    body: request.body,
    isModel,
    resumeFromToken: request.resumeFromToken,
    resumedText: request.resumedText,
});

const refusal = (writer: AnswerWriter, error: InstanceType<typeof RefusedError>): RunEvent =>
    writer.write({
        case: "refused",
        value: { reason: error.reason, message: error.message, retryAfterMs: error.retryAfterMs },
    });

async function* callBackend(
    context: AgentContext,
    request: RunRequest,
    writer: AnswerWriter,
    signal: AbortSignal,
): AsyncGenerator<RunEvent> {
    const { events } = context.runtime;
    const { requestId } = request;
    try {
        const isModel = context.isModelService(request.service);
        for await (const event of context.backend.run(toBackendRequest(request, isModel), signal)) {
            yield writer.writeBackendEvent(event);
        }
        events.emit(requestFinished, { requestId });
    }
    catch (error) {
        const message = errorMessage(error);
        if (error instanceof BackendRefusedError) {
            events.emit(requestRefused, { requestId, message });
            yield refusal(
                writer,
                new RefusedError(message, { props: { reason: context.backendRefusedReason } }),
            );
            return;
        }
        events.emit(requestBroken, { requestId, message });
        yield writer.write({ case: "unknown", value: { message } });
    }
}

/**
 * Runs one attempt.
 *
 * @param context - the agent
 * @param request - the attempt
 * @param signal - aborts when the work should end early
 * @returns the events of the answer; the last is `end`, `refused` or `unknown`
 */
export async function* runRequest(
    context: AgentContext,
    request: RunRequest,
    signal: AbortSignal,
): AsyncGenerator<RunEvent> {
    const { clock, events } = context.runtime;
    const writer = new AnswerWriter(request);
    const arrivedMs = clock.nowMs();
    let slot: Disposable;
    try {
        context.checkAdmissible(request);
        slot = await context.admission.acquire({
            priority: request.priority,
            deadlineMs: arrivedMs + request.remainingMs,
            signal,
        });
    }
    catch (error) {
        if (!(error instanceof RefusedError)) {
            throw error;
        }
        events.emit(requestRefused, { requestId: request.requestId, message: error.message });
        yield refusal(writer, error);
        return;
    }
    try {
        const queuedMs = Math.round(clock.nowMs() - arrivedMs);
        events.emit(requestStarted, { requestId: request.requestId, attempt: request.attempt, queuedMs });
        yield writer.write({ case: "admitted", value: { incarnation: context.incarnation, queuedMs } });
        yield* callBackend(context, request, writer, signal);
    }
    finally {
        slot[Symbol.dispose]();
    }
}
