/**
 * Serves repeatable requests: retries at another agent when one refuses or fails.
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
import type { InFlightRequest } from "./inFlightRequest.ts";
import { brokenFailure, refusedFailure } from "./requestFailure.ts";

const MAX_ATTEMPTS = 4;
/** Limit on attempts once part of the answer has been delivered to the caller. */
const MAX_RESUME_ATTEMPTS = 12;
/** Shortest wait before all agents may be tried again to resume an answer, in milliseconds. */
const MIN_RESUME_WAIT_MS = 100;

/**
 * Sends one attempt and records its outcome.
 *
 * @param context - the entry
 * @param request - the request
 * @param peer - agent to call
 * @param signal - aborts the attempt
 * @returns the outcome
 */
export const sendAttempt = async (
    context: EntryContext,
    request: InFlightRequest,
    peer: AgentPeer,
    signal: AbortSignal,
): Promise<AttemptOutcome> => {
    const { runtime } = context;
    const { requestId } = request.caller;
    const message = request.createAttempt();
    const { attempt } = message;
    runtime.events.emit(attemptSent, { requestId, attempt, server: peer.rule.name });
    const outcome = await runAttempt({
        runtime,
        peer,
        request: message,
        signal,
        consume: event => request.deliver(event, peer),
        rejectHead: head => request.rejectHead(head),
    });
    recordOutcome(context, request, outcome, attempt);
    return outcome;
};

/**
 * Records the outcome of an attempt.
 *
 * @param context - the entry
 * @param request - the request
 * @param outcome - outcome of the attempt
 * @param attempt - number of the attempt
 */
export const recordOutcome = (
    context: EntryContext,
    request: InFlightRequest,
    outcome: AttemptOutcome,
    attempt: number,
): void => {
    if (outcome.kind === "answered") {
        return;
    }
    if (outcome.kind === "refused") {
        request.lastRefusal = outcome.refused;
    }
    else {
        request.mayHaveRun = true;
        request.lastErrorMessage = outcome.message;
    }
    const { requestId } = request.caller;
    context.runtime.events.emit(attemptFailed, { requestId, attempt, outcome: outcome.kind });
};

/** Whether another attempt may be made. Resuming an answer charges the budget but is never denied by it. */
const mayRetry = (context: EntryContext, request: InFlightRequest): boolean => {
    const budget = context.retryBudgets[request.isUrgent ? "urgent" : "ordinary"];
    if (request.hasDeliveredTokens) {
        budget.charge();
        return request.attempts < MAX_RESUME_ATTEMPTS;
    }
    return request.attempts < MAX_ATTEMPTS && budget.tryAcquire();
};

const finalFailure = (request: InFlightRequest): Failure =>
    request.lastRefusal && !request.hasDeliveredTokens
        ? refusedFailure(request)
        : brokenFailure(request, request.lastErrorMessage || "the answer broke and could not be continued");

/** Waits before trying all agents again after each of them has refused or failed. */
const waitForCapacity = async (
    context: EntryContext,
    request: InFlightRequest,
    signal: AbortSignal,
): Promise<void> => {
    request.clearExclusions();
    const waitMs = Math.max(MIN_RESUME_WAIT_MS, request.lastRefusal?.retryAfterMs ?? 0);
    await sleep(context.runtime.clock, Math.min(waitMs, request.remainingMs), signal).catch(() => {});
};

/**
 * Makes attempts until one is answered or no further attempt is allowed.
 *
 * @param context - the entry
 * @param request - the request
 * @param signal - aborts the request
 * @returns the failure; undefined when the request was answered or aborted
 */
export const serveRepeatable = async (
    context: EntryContext,
    request: InFlightRequest,
    signal: AbortSignal,
): Promise<Failure | undefined> => {
    const backoff = new Backoff(context.runtime.random);
    while (!signal.aborted) {
        const peer = request.chooseAgent();
        if (!peer) {
            if (!request.hasDeliveredTokens) {
                return refusedFailure(request);
            }
            await waitForCapacity(context, request, signal);
            continue;
        }
        const outcome = await sendAttempt(context, request, peer, signal);
        if (outcome.kind === "answered" || signal.aborted) {
            return undefined;
        }
        if (request.hasDeliveredTokens && isFaultSeeded("entry.short-answer-normal-end")) {
            request.deliver({ kind: "end", finishReason: "stop" }, peer);
            return undefined;
        }
        if (!request.isResumable || !mayRetry(context, request)) {
            return finalFailure(request);
        }
        request.exclude(peer);
        const waitMs = Math.min(backoff.nextMs(), request.remainingMs);
        await sleep(context.runtime.clock, waitMs, signal).catch(() => {});
    }
    return undefined;
};
