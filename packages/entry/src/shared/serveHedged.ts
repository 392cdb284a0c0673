/**
 * Serves status reads with hedging: a second agent is called when the first one is slow to answer.
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
import type { InFlightRequest } from "./inFlightRequest.ts";
import { recordOutcome, serveRepeatable } from "./serveRepeatable.ts";

/** Time without an answer after which the hedge attempt is sent, in milliseconds. */
const HEDGE_DELAY_MS = 60;

interface BufferedAttempt {
    readonly peer: AgentPeer;
    readonly events: readonly AnswerEvent[];
    readonly outcome: AttemptOutcome;
}

/** Signals that end an attempt. */
interface HedgeSignals {
    /** Aborts when another attempt was answered. */
    readonly answered: AbortSignal;
    /** Aborts when another attempt was answered or the request is aborted. */
    readonly abort: AbortSignal;
}

/** Runs one attempt and buffers its events until the answer is complete. */
const runBuffered = async (
    context: EntryContext,
    request: InFlightRequest,
    peer: AgentPeer,
    signals: HedgeSignals,
): Promise<BufferedAttempt> => {
    const { runtime } = context;
    const events: AnswerEvent[] = [];
    const message = request.createAttempt();
    const { requestId } = request.caller;
    runtime.events.emit(attemptSent, { requestId, attempt: message.attempt, server: peer.rule.name });
    request.exclude(peer);
    const consume = (event: AnswerEvent): void => void events.push(event);
    const outcome = await runAttempt({ runtime, peer, request: message, signal: signals.abort, consume });
    // An attempt aborted at the deadline is recorded too, because it may have run.
    if (!signals.answered.aborted) {
        recordOutcome(context, request, outcome, message.attempt);
    }
    return { peer, events, outcome };
};

/** Resolves when the first attempt has ended or the hedge delay has elapsed. */
const waitForHedgeDelay = (clock: Clock, first: Promise<unknown>): Promise<void> => {
    const waited: Deferred<void> = createDeferred();
    const timer = clock.setTimer(HEDGE_DELAY_MS, waited.resolve);
    void first.then(() => {
        timer.cancel();
        waited.resolve();
    });
    return waited.promise;
};

/** Resolves with the first complete answer, or with the first attempt when none was answered. */
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
 * Serves a status read with hedging; falls back to ordinary retries when no attempt is answered.
 *
 * @param context - the entry
 * @param request - the request
 * @param signal - aborts the request
 * @returns the failure; undefined when the request was answered or aborted
 */
export const serveHedged = async (
    context: EntryContext,
    request: InFlightRequest,
    signal: AbortSignal,
): Promise<Failure | undefined> => {
    const peer = request.chooseAgent();
    if (!peer) {
        return serveRepeatable(context, request, signal);
    }
    const answeredController = new AbortController();
    const signals = {
        answered: answeredController.signal,
        abort: AbortSignal.any([signal, answeredController.signal]),
    };
    const attempts = [runBuffered(context, request, peer, signals)];
    const hasFirstEnded = { value: false };
    void attempts[0]?.then(() => hasFirstEnded.value = true);
    await waitForHedgeDelay(context.runtime.clock, attempts[0] as Promise<unknown>);
    const hedgePeer = hasFirstEnded.value ? undefined : request.chooseAgent();
    if (hedgePeer && !signal.aborted && context.retryBudgets.urgent.tryAcquire()) {
        attempts.push(runBuffered(context, request, hedgePeer, signals));
    }
    const { peer: answeredBy, events, outcome } = await firstAnswered(attempts);
    answeredController.abort();
    if (outcome.kind === "answered") {
        events.forEach(event => request.deliver(event, answeredBy));
        return undefined;
    }
    return serveRepeatable(context, request, signal);
};
