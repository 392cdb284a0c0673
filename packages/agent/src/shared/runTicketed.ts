/**
 * Runs non-repeatable requests: each at most once, and only in the agent incarnation that its ticket names.
 *
 * @packageDocumentation
 */

import { AbortedError, AsyncQueue, contentHash, createDeferred, isFaultSeeded } from "@magnolialock/kernel";
import { RefusalReason, type RunEvent, type RunRequest } from "@magnolialock/protocol";
import type { AgentContext } from "./agentContext.ts";
import { requestReplayed, ticketRefused } from "./agentEvents.ts";
import { singleEvent } from "./answerWriter.ts";
import type { JournalEntry, JournalRecord } from "./requestJournal.ts";
import { runRequest } from "./runRequest.ts";
import { decodeAnswer, encodeAnswer, replaceAnswerIds } from "./storedAnswer.ts";
import { parseTicket, type Ticket } from "./ticket.ts";

/** Hashes the content of a request, so that a ticket cannot fetch the answer to another request. */
const fingerprintOf = (request: RunRequest): string =>
    contentHash(
        Buffer.concat([
            Buffer.from(`${request.clientAccount}\n${request.service}\n${request.method} ${request.path}\n`),
            request.body,
        ]),
    );

const outcomeOf = (answer: readonly RunEvent[]): JournalEntry => {
    const last = answer.at(-1)?.event.case;
    if (last === "refused") {
        return { kind: "neverStarted" };
    }
    return last === "end" ? { kind: "finished", answer: encodeAnswer(answer) } : { kind: "unknown" };
};

/** Runs a request to completion, even if the entry is gone, and journals its state and outcome. */
const startOnce = (
    context: AgentContext,
    request: RunRequest,
    ticket: Ticket,
    fingerprint: string,
): AsyncQueue<RunEvent> => {
    const liveEvents = new AsyncQueue<RunEvent>();
    const queueAbort = new AbortController();
    const { promise: settled, resolve } = createDeferred<void>();
    const record = (entry: JournalEntry): void => context.journal.record(ticket, { fingerprint, entry });
    const cancel = (): void => queueAbort.abort(new AbortedError("the request was recalled"));
    const run = async (): Promise<void> => {
        const answer: RunEvent[] = [];
        const onStart = (): void => record({ kind: "running", settled });
        const events = runRequest(context, request, {
            signal: queueAbort.signal,
            runsToCompletion: true,
            onStart,
        });
        for await (const event of events) {
            answer.push(event);
            liveEvents.push(event);
        }
        record(outcomeOf(answer));
        resolve();
        liveEvents.close();
    };
    record({ kind: "waiting", cancel, settled });
    void run();
    return liveEvents;
};

const refuseTicket = (context: AgentContext, request: RunRequest, message: string): RunEvent => {
    context.runtime.events.emit(ticketRefused, { requestId: request.requestId, message });
    return singleEvent(request, {
        case: "refused",
        value: { reason: RefusalReason.WRONG_TICKET, message },
    });
};

/** Answers a request that is already in the journal; waits for its outcome if it is waiting or running. */
async function* replay(
    context: AgentContext,
    request: RunRequest,
    ticket: Ticket,
    entry: JournalEntry,
): AsyncGenerator<RunEvent> {
    const { requestId } = request;
    switch (entry.kind) {
        case "waiting":
        case "running": {
            await entry.settled;
            const record = context.journal.find(ticket);
            yield* replay(context, request, ticket, record?.entry ?? { kind: "unknown" });
            break;
        }
        case "finished":
            context.runtime.events.emit(requestReplayed, { requestId });
            yield* replaceAnswerIds(decodeAnswer(entry.answer), request);
            break;
        case "neverStarted":
            yield singleEvent(request, {
                case: "refused",
                value: {
                    reason: RefusalReason.RECALLED,
                    message: "the ticket is spent, its request never ran: send the request without it",
                },
            });
            break;
        case "unknown":
            yield singleEvent(request, {
                case: "unknown",
                value: { message: "the request came long ago or broke; it may have run" },
            });
            break;
    }
}

/** Whether a ticket was first used for a request with other content. */
const isForOtherRequest = (record: JournalRecord, fingerprint: string): boolean =>
    record.fingerprint !== undefined && record.fingerprint !== fingerprint;

/**
 * Runs a non-repeatable request, or answers it from the journal.
 *
 * @param context - state of the agent
 * @param request - the attempt
 * @returns the events of the answer; the last is `end`, `refused` or `unknown`
 */
export async function* runTicketed(context: AgentContext, request: RunRequest): AsyncGenerator<RunEvent> {
    const ticket = parseTicket(request.ticket);
    if (!ticket || ticket.server !== context.server) {
        yield refuseTicket(context, request, "the ticket is not for this backend server");
        return;
    }
    if (ticket.incarnation !== context.incarnation && !isFaultSeeded("agent.skip-ticket-check")) {
        yield singleEvent(request, {
            case: "unknown",
            value: { message: "the agent that the ticket was for is gone; the request may have run" },
        });
        return;
    }
    const fingerprint = fingerprintOf(request);
    const record = context.journal.find(ticket);
    if (record && isForOtherRequest(record, fingerprint)) {
        yield refuseTicket(
            context,
            request,
            "the ticket was used for another request: use one ticket a request",
        );
        return;
    }
    if (record) {
        yield* replay(context, request, ticket, record.entry);
        return;
    }
    if (!context.journal.acceptsIssuer(ticket.issuer)) {
        yield refuseTicket(context, request, "the agent knows too many issuers: restart it to go on");
        return;
    }
    yield* startOnce(context, request, ticket, fingerprint);
}
