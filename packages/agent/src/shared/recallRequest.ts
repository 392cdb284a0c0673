/**
 * Recalls of non-repeatable requests. A recall reports the outcome of a request; if the request has not
 * started yet, the recall also guarantees that it never starts.
 *
 * @packageDocumentation
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { sleep } from "@magnolialock/kernel";
import { RecallOutcome, type RecallRequest, type RecallResponseSchema } from "@magnolialock/protocol";
import type { AgentContext } from "./agentContext.ts";
import { requestRecalled } from "./agentEvents.ts";
import type { JournalEntry } from "./requestJournal.ts";
import { decodeAnswer } from "./storedAnswer.ts";
import { parseTicket, type Ticket } from "./ticket.ts";

type Response = MessageInitShape<typeof RecallResponseSchema>;

const unknownOutcome: Response = { outcome: RecallOutcome.UNKNOWN };
const neverStarted: Response = { outcome: RecallOutcome.NEVER_STARTED };

/** Upper bound of the wait for a running request, in milliseconds. */
const MAX_WAIT_MS = 60_000;

const waitForOutcome = async (
    context: AgentContext,
    settled: Promise<void>,
    waitMs: number,
): Promise<void> => {
    const timerAbort = new AbortController();
    const timer = sleep(context.runtime.clock, Math.min(waitMs, MAX_WAIT_MS), timerAbort.signal);
    await Promise.race([settled, timer]);
    timer.catch(() => {});
    timerAbort.abort();
};

/** Describes the outcome of a request that is in the journal. A waiting request is cancelled first. */
const describeOutcome = async (
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
                await waitForOutcome(context, entry.settled, request.waitMs);
                return findAndDescribe(context, { ...request, waitMs: 0 }, ticket);
            }
            return { outcome: RecallOutcome.RUNNING };
        case "finished":
            return { outcome: RecallOutcome.FINISHED, answer: decodeAnswer(entry.answer) };
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
    return record ? describeOutcome(context, request, ticket, record.entry) : unknownOutcome;
};

/**
 * Recalls a request.
 *
 * @param context - state of the agent
 * @param request - ticket of the request, and how long to wait for it if it is running
 * @returns the outcome of the request, with the stored answer if it is finished
 */
export const recallRequest = async (context: AgentContext, request: RecallRequest): Promise<Response> => {
    const ticket = parseTicket(request.ticket);
    if (!ticket || ticket.server !== context.server || ticket.incarnation !== context.incarnation) {
        return unknownOutcome;
    }
    const record = context.journal.find(ticket);
    if (record) {
        return describeOutcome(context, request, ticket, record.entry);
    }
    if (!context.journal.acceptsIssuer(ticket.issuer)) {
        // Every ticket of this issuer is refused, so the request cannot start.
        return neverStarted;
    }
    context.journal.record(ticket, { fingerprint: undefined, entry: { kind: "neverStarted" } });
    context.runtime.events.emit(requestRecalled, { requestId: request.requestId });
    return neverStarted;
};
