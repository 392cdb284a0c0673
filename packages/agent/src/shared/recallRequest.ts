/**
 * Recalls: what became of a request, and the promise that it never starts if it has not started yet.
 *
 * @packageDocumentation
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { sleep } from "@magnolialock/kernel";
import { RecallOutcome, type RecallRequest, type RecallResponseSchema } from "@magnolialock/protocol";
import type { AgentContext } from "./agentContext.ts";
import { requestRecalled } from "./agentEvents.ts";
import { restoreAnswer } from "./keptAnswer.ts";
import type { JournalEntry } from "./requestJournal.ts";
import { parseTicket, type Ticket } from "./ticket.ts";

type Response = MessageInitShape<typeof RecallResponseSchema>;

const unknownOutcome: Response = { outcome: RecallOutcome.UNKNOWN };
const neverStarted: Response = { outcome: RecallOutcome.NEVER_STARTED };

/** Longest wait for a running request, in milliseconds. */
const MAX_WAIT_MS = 60_000;

const waitFor = async (context: AgentContext, settled: Promise<void>, waitMs: number): Promise<void> => {
    const waiting = new AbortController();
    const limit = sleep(context.runtime.clock, Math.min(waitMs, MAX_WAIT_MS), waiting.signal);
    await Promise.race([settled, limit]);
    limit.catch(() => {});
    waiting.abort();
};

/** Tells the outcome of a request that is in the journal; a waiting one is cancelled. */
const describe = async (
    context: AgentContext,
    request: RecallRequest,
    ticket: Ticket,
    entry: JournalEntry,
): Promise<Response> => {
    switch (entry.kind) {
        case "waiting":
            entry.cancel();
            await entry.settled;
            return findAndDescribe(context, request, ticket);
        case "running":
            if (request.waitMs > 0) {
                await waitFor(context, entry.settled, request.waitMs);
                return findAndDescribe(context, { ...request, waitMs: 0 }, ticket);
            }
            return { outcome: RecallOutcome.RUNNING };
        case "finished":
            return { outcome: RecallOutcome.FINISHED, answer: restoreAnswer(entry.answer) };
        case "neverStarted":
            return neverStarted;
        case "unknown":
            return unknownOutcome;
    }
};

const findAndDescribe = async (
    context: AgentContext,
    request: RecallRequest,
    ticket: Ticket,
): Promise<Response> => {
    const record = context.journal.find(ticket);
    return record ? describe(context, request, ticket, record.entry) : unknownOutcome;
};

/**
 * Recalls a request.
 *
 * @param context - the agent
 * @param request - ticket, and how long to wait for a running request
 * @returns its outcome, with the kept answer if it is finished
 */
export const recallRequest = async (context: AgentContext, request: RecallRequest): Promise<Response> => {
    const ticket = parseTicket(request.ticket);
    if (!ticket || ticket.server !== context.server || ticket.incarnation !== context.incarnation) {
        return unknownOutcome;
    }
    const record = context.journal.find(ticket);
    if (record) {
        return describe(context, request, ticket, record.entry);
    }
    if (!context.journal.acceptsIssuer(ticket.issuer)) {
        // A ticket of this issuer is always refused, so the request cannot start.
        return neverStarted;
    }
    context.journal.record(ticket, { fingerprint: undefined, entry: { kind: "neverStarted" } });
    context.runtime.events.emit(requestRecalled, { requestId: request.requestId });
    return neverStarted;
};
