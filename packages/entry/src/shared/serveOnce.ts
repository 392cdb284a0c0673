/**
 * Attempts of a request that may not be repeated: along its ticket chain, and recalled when an answer is missing.
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
import { mintTicketChain } from "./issueTicket.ts";
import { recallAttempt } from "./recallAttempt.ts";
import { brokenFailure, refusedFailure } from "./requestFailure.ts";
import type { ServedRequest } from "./servedRequest.ts";
import { noteOutcome } from "./serveRepeatable.ts";
import { parseTicketChain, type TicketLink } from "./ticketChain.ts";

/** Time that is kept for the recall before the deadline, in milliseconds. */
const RECALL_RESERVE_MS = 150;
const MAX_RECALL_SHARE = 0.2;
const LONGEST_MINT_WAIT_MS = 250;
const MINT_POLL_MS = 10;

/** Mints the tickets of the agents that may run the request. */
const mintChain = (context: EntryContext, request: ServedRequest): string =>
    mintTicketChain(context, () => {
        const peer = request.chooseAgent();
        if (peer) {
            request.exclude(peer);
        }
        return peer;
    });

/** Mints tickets; right after a start or a pause the incarnations of the agents must be heard first. */
const mintWhenSeen = async (
    context: EntryContext,
    request: ServedRequest,
    signal: AbortSignal,
): Promise<string> => {
    const { clock } = context.runtime;
    const latestMs = clock.nowMs() + Math.min(LONGEST_MINT_WAIT_MS, request.remainingMs);
    for (;;) {
        const chain = mintChain(context, request);
        const isPossible = context.agents.candidates(request.caller.service).length > 0;
        if (chain !== "" || !isPossible || clock.nowMs() >= latestMs || signal.aborted) {
            return chain;
        }
        request.includeAll();
        await sleep(clock, MINT_POLL_MS, signal).catch(() => {});
    }
};

/** Runs one attempt and leaves time for a recall before the deadline. */
const sendOnce = async (
    context: EntryContext,
    request: ServedRequest,
    peer: AgentPeer,
    attempt: RunRequest,
    signal: AbortSignal,
): Promise<AttemptOutcome> => {
    const { runtime } = context;
    const consume = (event: AnswerEvent): void => request.deliver(event, peer);
    const reserveMs = Math.min(RECALL_RESERVE_MS, request.remainingMs * MAX_RECALL_SHARE);
    using timeout = timeoutSignal(runtime.clock, request.remainingMs - reserveMs, signal);
    const { requestId } = request.caller;
    runtime.events.emit(attemptSent, { requestId, attempt: attempt.attempt, server: peer.rule.name });
    const outcome = await runAttempt({ runtime, peer, request: attempt, signal: timeout.signal, consume });
    if (outcome.kind !== "unreachable" || !request.canContinue || isFaultSeeded("entry.retry-booking")) {
        return outcome;
    }
    return recallAttempt({ context, request, peer, attempt, signal, consume });
};

const wrongTicket = (message: string): Failure => ({ code: "wrong-ticket", ran: "outcome unknown", message });

const awakeFailure: Failure = {
    code: "unavailable",
    ran: "not run",
    message: "the entry was paused while the request waited: send it again",
    retryAfterMs: 0,
};

/** Tries the agents of a chain in order; the next one only after the one before has refused for good. */
const serveAlong = async (
    context: EntryContext,
    request: ServedRequest,
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
        const attempt = request.nextAttempt(text);
        const outcome = await sendOnce(context, request, peer, attempt, signal);
        if (outcome.kind === "answered") {
            return undefined;
        }
        noteOutcome(context, request, outcome, attempt.attempt);
        if (outcome.kind !== "refused") {
            return brokenFailure(request, outcome.message);
        }
        // Such a refusal is not recorded: the agent may still run the request, so no other one may.
        if (outcome.refused.reason === RefusalReason.WRONG_TICKET) {
            return request.caller.ticket === undefined
                ? refusedFailure(request)
                : wrongTicket(outcome.refused.message);
        }
    }
    return refusedFailure(request);
};

/**
 * Serves a request that may not be repeated.
 *
 * @param context - the entry
 * @param request - the request
 * @param signal - gives the request up
 * @param consume - gets the ticket before the first attempt
 * @returns the failure; undefined when the request was answered
 */
export const serveOnce = async (
    context: EntryContext,
    request: ServedRequest,
    signal: AbortSignal,
    consume: (event: AnswerEvent) => void,
): Promise<Failure | undefined> => {
    // The caller may have given up during the pause and gone to another entry, without a ticket to tell the two apart.
    if (request.caller.ticket === undefined && context.isJustAwake()) {
        return awakeFailure;
    }
    const chain = request.caller.ticket ?? await mintWhenSeen(context, request, signal);
    if (chain === "") {
        return refusedFailure(request);
    }
    const links = parseTicketChain(chain);
    if (!links) {
        return wrongTicket("the ticket is malformed: send it as it was returned");
    }
    consume({ kind: "ticket", ticket: chain });
    const failure = await serveAlong(context, request, links, signal);
    if (failure && request.mayHaveRun && isFaultSeeded("entry.retry-booking")) {
        const again = parseTicketChain(mintChain(context, request)) ?? [];
        return serveAlong(context, request, again, signal);
    }
    return failure;
};
