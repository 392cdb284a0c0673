/**
 * Attempts of a request that may be repeated: another agent takes over when one refuses or breaks.
 *
 * @packageDocumentation
 */

import { isFaultSeeded, sleep } from "@magnolialock/kernel";
import type { Failure } from "../types/caller.ts";
import type { AgentPeer } from "./agentPeer.ts";
import type { AttemptOutcome } from "./answerReader.ts";
import { runAttempt } from "./attempt.ts";
import { Backoff } from "./backoff.ts";
import type { EntryContext } from "./entryContext.ts";
import { attemptFailed, attemptSent } from "./entryEvents.ts";
import { brokenFailure, refusedFailure } from "./requestFailure.ts";
import type { ServedRequest } from "./servedRequest.ts";

const MAX_ATTEMPTS = 4;
/** Attempts that continue an answer which has reached the caller in part. */
const MAX_RESUMES = 12;
/** Shortest wait before agents that all refused are asked again to continue an answer, in milliseconds. */
const RESUME_WAIT_MS = 100;

/**
 * Sends one attempt and records how it ended.
 *
 * @param context - the entry
 * @param request - the request
 * @param peer - agent to call
 * @param signal - gives the attempt up
 * @returns how it ended
 */
export const sendAttempt = async (
    context: EntryContext,
    request: ServedRequest,
    peer: AgentPeer,
    signal: AbortSignal,
): Promise<AttemptOutcome> => {
    const { runtime } = context;
    const { requestId } = request.caller;
    const message = request.nextAttempt();
    const { attempt } = message;
    runtime.events.emit(attemptSent, { requestId, attempt, server: peer.rule.name });
    const outcome = await runAttempt({
        runtime,
        peer,
        request: message,
        signal,
        consume: event => request.deliver(event, peer),
    });
    noteOutcome(context, request, outcome, attempt);
    return outcome;
};

/**
 * Records how an attempt ended.
 *
 * @param context - the entry
 * @param request - the request
 * @param outcome - how it ended
 * @param attempt - its number
 */
export const noteOutcome = (
    context: EntryContext,
    request: ServedRequest,
    outcome: AttemptOutcome,
    attempt: number,
): void => {
    if (outcome.kind === "answered") {
        return;
    }
    if (outcome.kind === "refused") {
        request.refused = outcome.refused;
    }
    else {
        request.mayHaveRun = true;
        request.brokenMessage = outcome.message;
    }
    const { requestId } = request.caller;
    context.runtime.events.emit(attemptFailed, { requestId, attempt, outcome: outcome.kind });
};

/** Whether the budgets allow one more attempt; an answer that has begun is always continued. */
const mayTryAgain = (context: EntryContext, request: ServedRequest): boolean => {
    const budget = context.retryBudgets[request.isUrgent ? "urgent" : "ordinary"];
    if (request.hasTokens) {
        budget.charge();
        return request.attempts < MAX_RESUMES;
    }
    return request.attempts < MAX_ATTEMPTS && budget.tryTake();
};

const failureAfter = (request: ServedRequest): Failure =>
    request.refused && !request.hasTokens
        ? refusedFailure(request)
        : brokenFailure(request, request.brokenMessage || "the answer broke and could not be continued");

/** Waits until agents that all refused may be asked again. */
const waitForRoom = async (
    context: EntryContext,
    request: ServedRequest,
    signal: AbortSignal,
): Promise<void> => {
    request.includeAll();
    const waitMs = Math.max(RESUME_WAIT_MS, request.refused?.retryAfterMs ?? 0);
    await sleep(context.runtime.clock, Math.min(waitMs, request.remainingMs), signal).catch(() => {});
};

/**
 * Runs attempts until one answers or none may follow.
 *
 * @param context - the entry
 * @param request - the request
 * @param signal - gives the request up
 * @returns the failure; undefined when the request was answered or given up
 */
export const serveRepeatable = async (
    context: EntryContext,
    request: ServedRequest,
    signal: AbortSignal,
): Promise<Failure | undefined> => {
    const backoff = new Backoff(context.runtime.random);
    while (!signal.aborted) {
        const peer = request.chooseAgent();
        if (!peer) {
            if (!request.hasTokens) {
                return refusedFailure(request);
            }
            await waitForRoom(context, request, signal);
            continue;
        }
        const outcome = await sendAttempt(context, request, peer, signal);
        if (outcome.kind === "answered" || signal.aborted) {
            return undefined;
        }
        if (request.hasTokens && isFaultSeeded("entry.short-answer-normal-end")) {
            request.deliver({ kind: "end", finishReason: "stop" }, peer);
            return undefined;
        }
        if (!request.canContinue || !mayTryAgain(context, request)) {
            return failureAfter(request);
        }
        request.exclude(peer);
        const waitMs = Math.min(backoff.nextMs(), request.remainingMs);
        await sleep(context.runtime.clock, waitMs, signal).catch(() => {});
    }
    return undefined;
};
