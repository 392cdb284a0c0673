/**
 * Serves non-repeatable requests along their ticket chain, and recalls attempts that got no answer.
 *
 * @packageDocumentation
 */

import { isFaultSeeded, sleep, timeoutSignal } from "@magnolialock/kernel";
import { RefusalReason, type RunRequest } from "@magnolialock/protocol";
import type { AnswerEvent, Failure } from "../types/caller.ts";
import type { AgentPeer } from "./agentPeer.ts";
import type { AttemptOutcome } from "./answerReader.ts";
import { runAttempt } from "./attempt.ts";
import type { EntryContext } from "./entryContext.ts";
import { attemptSent } from "./entryEvents.ts";
import type { InFlightRequest } from "./inFlightRequest.ts";
import { mintTicketChain } from "./issueTicket.ts";
import { recallAttempt } from "./recallAttempt.ts";
import { brokenFailure, refusedFailure } from "./requestFailure.ts";
import { recordOutcome } from "./serveRepeatable.ts";
import { parseTicketChain, type TicketLink } from "./ticketChain.ts";

/** Time before the deadline that is reserved for a recall, in milliseconds. */
const RECALL_RESERVE_MS = 150;
const MAX_RECALL_RESERVE_SHARE = 0.2;
const MAX_MINT_WAIT_MS = 250;
const MINT_POLL_MS = 10;

/** Mints tickets for the agents that may run the request. */
const mintRequestChain = (context: EntryContext, request: InFlightRequest): string =>
    mintTicketChain(context, () => {
        const peer = request.chooseAgent();
        if (peer) {
            request.exclude(peer);
        }
        return peer;
    });

/** Mints tickets; right after a start or a pause, waits until agents have reported their incarnations. */
const mintWhenAgentsReport = async (
    context: EntryContext,
    request: InFlightRequest,
    signal: AbortSignal,
): Promise<string> => {
    const { clock } = context.runtime;
    const waitEndMs = clock.nowMs() + Math.min(MAX_MINT_WAIT_MS, request.remainingMs);
    for (;;) {
        const chain = mintRequestChain(context, request);
        const hasCandidates = context.agents.candidates(request.caller.service).length > 0;
        if (chain !== "" || !hasCandidates || clock.nowMs() >= waitEndMs || signal.aborted) {
            return chain;
        }
        request.clearExclusions();
        await sleep(clock, MINT_POLL_MS, signal).catch(() => {});
    }
};

/** Runs one attempt; when it gets no answer, recalls it in the time reserved before the deadline. */
const sendWithRecall = async (
    context: EntryContext,
    request: InFlightRequest,
    peer: AgentPeer,
    attempt: RunRequest,
    signal: AbortSignal,
): Promise<AttemptOutcome> => {
    const { runtime } = context;
    const consume = (event: AnswerEvent): void => request.deliver(event, peer);
    const reserveMs = Math.min(RECALL_RESERVE_MS, request.remainingMs * MAX_RECALL_RESERVE_SHARE);
    using timeout = timeoutSignal(runtime.clock, request.remainingMs - reserveMs, signal);
    const { requestId } = request.caller;
    runtime.events.emit(attemptSent, { requestId, attempt: attempt.attempt, server: peer.rule.name });
    const outcome = await runAttempt({
        runtime,
        peer,
        request: attempt,
        signal: timeout.signal,
        consume,
        rejectHead: head => request.rejectHead(head),
    });
    if (outcome.kind !== "unreachable" || !request.isResumable || isFaultSeeded("entry.retry-booking")) {
        return outcome;
    }
    return recallAttempt({ context, request, peer, attempt, signal, consume });
};

const wrongTicketFailure = (message: string): Failure => ({
    code: "wrong-ticket",
    ran: "outcome unknown",
    message,
});

const pausedFailure: Failure = {
    code: "unavailable",
    ran: "not run",
    message: "the entry was paused while the request waited: send it again",
    retryAfterMs: 0,
};

/** Tries the agents of a chain in order, each only after the one before has definitively refused. */
const tryTicketChain = async (
    context: EntryContext,
    request: InFlightRequest,
    links: readonly TicketLink[],
    signal: AbortSignal,
): Promise<Failure | undefined> => {
    for (const { text, ticket } of links) {
        const peer = context.agents.find(ticket.server);
        if (!peer) {
            request.mayHaveRun = true;
            return brokenFailure(
                request,
                `backend server ${ticket.server} is gone; the request may have run`,
            );
        }
        if (request.attempts > 0) {
            context.retryBudgets.urgent.charge();
        }
        const attempt = request.createAttempt(text);
        const outcome = await sendWithRecall(context, request, peer, attempt, signal);
        if (outcome.kind === "answered") {
            return undefined;
        }
        recordOutcome(context, request, outcome, attempt.attempt);
        if (outcome.kind !== "refused") {
            return brokenFailure(request, outcome.message);
        }
        // The agent does not record this refusal and may still run the request, so no other agent may run it.
        if (outcome.refused.reason === RefusalReason.WRONG_TICKET) {
            return request.caller.ticket === undefined
                ? refusedFailure(request)
                : wrongTicketFailure(outcome.refused.message);
        }
    }
    return refusedFailure(request);
};

/**
 * Serves a non-repeatable request.
 *
 * @param context - the entry
 * @param request - the request
 * @param signal - aborts the request
 * @param consume - receives the ticket before the first attempt
 * @returns the failure; undefined when the request was answered
 */
export const serveAtMostOnce = async (
    context: EntryContext,
    request: InFlightRequest,
    signal: AbortSignal,
    consume: (event: AnswerEvent) => void,
): Promise<Failure | undefined> => {
    // The caller may have timed out during the pause and sent the request to another entry. Without a ticket,
    // nothing identifies the two as the same request, so both could run.
    if (request.caller.ticket === undefined && context.hasRecentlyResumed()) {
        return pausedFailure;
    }
    const chain = request.caller.ticket ?? await mintWhenAgentsReport(context, request, signal);
    if (chain === "") {
        return refusedFailure(request);
    }
    const links = parseTicketChain(chain);
    if (!links) {
        return wrongTicketFailure("the ticket is malformed: send it as it was returned");
    }
    consume({ kind: "ticket", ticket: chain });
    const failure = await tryTicketChain(context, request, links, signal);
    if (failure && request.mayHaveRun && isFaultSeeded("entry.retry-booking")) {
        const newLinks = parseTicketChain(mintRequestChain(context, request)) ?? [];
        return tryTicketChain(context, request, newLinks, signal);
    }
    return failure;
};
