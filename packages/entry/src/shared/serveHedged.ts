/**
 * Attempts of a status read: a second agent is asked when the first one stays silent.
 *
 * @packageDocumentation
 */

import { type Clock, createDeferred, type Deferred } from "@magnolialock/kernel";
import type { AnswerEvent, Failure } from "../types/caller.ts";
import type { AgentPeer } from "./agentPeer.ts";
import type { AttemptOutcome } from "./answerReader.ts";
import { runAttempt } from "./attempt.ts";
import type { EntryContext } from "./entryContext.ts";
import { attemptSent } from "./entryEvents.ts";
import type { ServedRequest } from "./servedRequest.ts";
import { noteOutcome, serveRepeatable } from "./serveRepeatable.ts";

/** Silence after which a second agent is asked, in milliseconds. */
const HEDGE_DELAY_MS = 60;

interface BufferedAttempt {
    readonly peer: AgentPeer;
    readonly pieces: readonly AnswerEvent[];
    readonly outcome: AttemptOutcome;
}

/** Runs one attempt and keeps its pieces until it is whole. */
const runBuffered = async (
    context: EntryContext,
    request: ServedRequest,
    peer: AgentPeer,
    signal: AbortSignal,
): Promise<BufferedAttempt> => {
    const { runtime } = context;
    const pieces: AnswerEvent[] = [];
    const message = request.nextAttempt();
    const { requestId } = request.caller;
    runtime.events.emit(attemptSent, { requestId, attempt: message.attempt, server: peer.rule.name });
    request.exclude(peer);
    const consume = (event: AnswerEvent): void => void pieces.push(event);
    const outcome = await runAttempt({ runtime, peer, request: message, signal, consume });
    if (!signal.aborted) {
        noteOutcome(context, request, outcome, message.attempt);
    }
    return { peer, pieces, outcome };
};

/** Resolves when an attempt has ended or the delay is over. */
const waitForHedge = (clock: Clock, first: Promise<unknown>): Promise<void> => {
    const waited: Deferred<void> = createDeferred();
    const timer = clock.setTimer(HEDGE_DELAY_MS, waited.resolve);
    void first.then(() => {
        timer.cancel();
        waited.resolve();
    });
    return waited.promise;
};

/** Takes the first whole answer; when there is none, the last outcome. */
const firstAnswered = async (attempts: readonly Promise<BufferedAttempt>[]): Promise<BufferedAttempt> => {
    const answered = attempts.map(async attempt => {
        const ended = await attempt;
        if (ended.outcome.kind !== "answered") {
            throw new Error(ended.outcome.kind);
        }
        return ended;
    });
    return Promise.any(answered).catch(() => attempts[0] as Promise<BufferedAttempt>);
};

/**
 * Serves a status read.
 *
 * @param context - the entry
 * @param request - the request
 * @param signal - gives the request up
 * @returns the failure; undefined when the request was answered or given up
 */
export const serveHedged = async (
    context: EntryContext,
    request: ServedRequest,
    signal: AbortSignal,
): Promise<Failure | undefined> => {
    const peer = request.chooseAgent();
    if (!peer) {
        return serveRepeatable(context, request, signal);
    }
    const winner = new AbortController();
    const attemptSignal = AbortSignal.any([signal, winner.signal]);
    const attempts = [runBuffered(context, request, peer, attemptSignal)];
    const isSettled = { value: false };
    void attempts[0]?.then(() => isSettled.value = true);
    await waitForHedge(context.runtime.clock, attempts[0] as Promise<unknown>);
    const other = isSettled.value ? undefined : request.chooseAgent();
    if (other && !signal.aborted && context.retryBudgets.urgent.tryTake()) {
        attempts.push(runBuffered(context, request, other, attemptSignal));
    }
    const { peer: answeredBy, pieces, outcome } = await firstAnswered(attempts);
    winner.abort();
    if (outcome.kind === "answered") {
        pieces.forEach(piece => request.deliver(piece, answeredBy));
        return undefined;
    }
    return serveRepeatable(context, request, signal);
};
