/**
 * The calls that an agent answers.
 *
 * @packageDocumentation
 */

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { HandlerContext } from "@connectrpc/connect";
import { bindService, createDeferred, type ServiceBinding, sleep } from "@magnolialock/kernel";
import {
    AgentService,
    type AgentStateSchema,
    RecallOutcome,
    type RecallRequest,
    type RecallResponseSchema,
    RefusalReason,
    type RunEvent,
    RunEventSchema,
    type RunRequest,
    type SessionRequestBatch,
    Warmth,
    type WatchStateRequest,
} from "@magnolialock/protocol";
import { match } from "ts-pattern";
import type { AgentContext } from "./agentContext.ts";
import { runRequest } from "./runRequest.ts";
import { runSession } from "./runSession.ts";
import { parseTicket } from "./ticket.ts";

const MIN_REPORT_PERIOD_MS = 50;

const single = (request: RunRequest, event: MessageInitShape<typeof RunEventSchema>["event"]): RunEvent =>
    create(RunEventSchema, { requestId: request.requestId, attempt: request.attempt, event });

/** Runs a request that may not be repeated: to its end, even when the entry is gone, and keeps the answer. */
async function* runOnce(context: AgentContext, request: RunRequest): AsyncGenerator<RunEvent> {
    const answer: RunEvent[] = [];
    const { promise, resolve } = createDeferred<readonly RunEvent[]>();
    context.journal.record(request.ticket, { kind: "running", finished: promise });
    const events = runRequest(context, request, new AbortController().signal);
    const finish = async (): Promise<void> => {
        for await (const event of events) {
            answer.push(event);
        }
        const isUnknown = answer.at(-1)?.event.case === "unknown";
        context.journal.record(
            request.ticket,
            isUnknown ? { kind: "unknown" } : { kind: "finished", answer },
        );
        resolve(answer);
    };
    void finish();
    yield* await promise;
}

async function* runTicketed(context: AgentContext, request: RunRequest): AsyncGenerator<RunEvent> {
    const ticket = parseTicket(request.ticket);
    if (!ticket || ticket.server !== context.server) {
        yield single(request, {
            case: "refused",
            value: {
                reason: RefusalReason.WRONG_TICKET,
                message: "the ticket is not for this backend server",
            },
        });
        return;
    }
    if (ticket.incarnation !== context.incarnation) {
        yield single(request, {
            case: "unknown",
            value: { message: "the agent that the ticket was for is gone; the request may have run" },
        });
        return;
    }
    const entry = context.journal.find(request.ticket);
    if (!entry) {
        yield* runOnce(context, request);
        return;
    }
    yield* await match(entry)
        .with({ kind: "running" }, ({ finished }) => finished)
        .with({ kind: "finished" }, ({ answer }) => answer)
        .with({ kind: "recalled" }, () => [
            single(request, {
                case: "refused",
                value: { reason: RefusalReason.RECALLED, message: "the request was recalled" },
            }),
        ])
        .with({ kind: "unknown" }, () => [
            single(request, { case: "unknown", value: { message: "the request may have run" } }),
        ])
        .exhaustive();
}

const recall = async (
    context: AgentContext,
    request: RecallRequest,
): Promise<MessageInitShape<typeof RecallResponseSchema>> => {
    const ticket = parseTicket(request.ticket);
    if (!ticket || ticket.server !== context.server || ticket.incarnation !== context.incarnation) {
        return { outcome: RecallOutcome.UNKNOWN };
    }
    const entry = context.journal.find(request.ticket);
    if (!entry) {
        context.journal.record(request.ticket, { kind: "recalled" });
        return { outcome: RecallOutcome.NEVER_STARTED };
    }
    return match(entry)
        .with({ kind: "running" }, () => ({ outcome: RecallOutcome.RUNNING }))
        .with(
            { kind: "finished" },
            ({ answer }) => ({ outcome: RecallOutcome.FINISHED, answer: [...answer] }),
        )
        .with({ kind: "recalled" }, () => ({ outcome: RecallOutcome.NEVER_STARTED }))
        .with({ kind: "unknown" }, () => ({ outcome: RecallOutcome.UNKNOWN }))
        .exhaustive();
};

const describeState = (
    context: AgentContext,
    sequence: bigint,
): MessageInitShape<typeof AgentStateSchema> => ({
    server: context.server,
    incarnation: context.incarnation,
    revision: BigInt(context.configuration.current?.revision ?? 0),
    warmth: Warmth.WARM,
    limit: context.rule?.warmLimit ?? 0,
    running: context.admission.running,
    queued: context.admission.queued,
    isDraining: context.isDraining,
    sequence,
});

async function* watchState(
    context: AgentContext,
    request: WatchStateRequest,
    signal: AbortSignal,
): AsyncGenerator<MessageInitShape<typeof AgentStateSchema>> {
    const periodMs = Math.max(request.periodMs, MIN_REPORT_PERIOD_MS);
    for (let sequence = 0n; !signal.aborted; sequence++) {
        yield describeState(context, sequence);
        await sleep(context.runtime.clock, periodMs, signal).catch(() => {});
    }
}

const run = (context: AgentContext, request: RunRequest, signal: AbortSignal): AsyncIterable<RunEvent> =>
    request.isRepeatable ? runRequest(context, request, signal) : runTicketed(context, request);

/**
 * Binds the agent's calls to its state.
 *
 * @param context - the agent
 * @returns the binding to listen with
 */
export const createAgentService = (context: AgentContext): ServiceBinding =>
    bindService(AgentService, {
        run: (request: RunRequest, handler: HandlerContext) => run(context, request, handler.signal),
        session: (requests: AsyncIterable<SessionRequestBatch>, handler: HandlerContext) =>
            runSession({
                requests,
                signal: handler.signal,
                run: (request, signal) => run(context, request, signal),
            }),
        recall: (request: RecallRequest) => recall(context, request),
        watchState: (request: WatchStateRequest, handler: HandlerContext) =>
            watchState(context, request, handler.signal),
    });
