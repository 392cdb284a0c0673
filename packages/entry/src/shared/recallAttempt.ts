/**
 * Recalls: asks an agent for the outcome of an attempt that got no answer.
 *
 * @packageDocumentation
 */

import { errorMessage, sleep, timeoutSignal } from "@magnolialock/kernel";
import { RecallOutcome, type RecallResponse, type RunRequest } from "@magnolialock/protocol";
import type { AgentPeer } from "./agentPeer.ts";
import { type AnswerConsumer, AnswerReader, type AttemptOutcome } from "./answerReader.ts";
import { Backoff } from "./backoff.ts";
import type { EntryContext } from "./entryContext.ts";
import { requestRecalled } from "./entryEvents.ts";
import type { InFlightRequest } from "./inFlightRequest.ts";

/** Timeout of one recall call, in milliseconds. */
const RECALL_TIMEOUT_MS = 500;

/** Options of {@link recallAttempt}. */
export interface RecallOptions {
    /** Shared state of the entry. */
    readonly context: EntryContext;
    /** Request of the attempt. */
    readonly request: InFlightRequest;
    /** Agent that may have run the attempt. */
    readonly peer: AgentPeer;
    /** Attempt that got no answer. */
    readonly attempt: RunRequest;
    /** Aborts the request. */
    readonly signal: AbortSignal;
    /** Receives the answer that the agent has stored. */
    readonly consume: AnswerConsumer;
}

const readStoredAnswer = (options: RecallOptions, response: RecallResponse): AttemptOutcome => {
    const { runtime } = options.context;
    const events: Parameters<AnswerConsumer>[0][] = [];
    const reader = new AnswerReader({
        runtime,
        request: options.attempt,
        consume: event => events.push(event),
    });
    for (const event of response.answer) {
        reader.read({ ...event, attempt: options.attempt.attempt });
    }
    if (reader.outcome?.kind === "answered") {
        events.forEach(options.consume);
    }
    return reader.outcome ?? { kind: "unknown", message: "the kept answer is not whole" };
};

const callRecall = async (options: RecallOptions): Promise<RecallResponse | undefined> => {
    const { context: { runtime }, peer, attempt, request } = options;
    using timeout = timeoutSignal(
        runtime.clock,
        Math.min(RECALL_TIMEOUT_MS, request.remainingMs),
        options.signal,
    );
    const { requestId, ticket } = attempt;
    try {
        return await peer.client.recall({ requestId, ticket }, { signal: timeout.signal });
    }
    catch (error) {
        request.lastErrorMessage = errorMessage(error);
        return undefined;
    }
};

const toOutcome = (options: RecallOptions, response: RecallResponse): AttemptOutcome | undefined => {
    switch (response.outcome) {
        case RecallOutcome.FINISHED:
            return readStoredAnswer(options, response);
        case RecallOutcome.NEVER_STARTED:
            return {
                kind: "refused",
                refused: {
                    $typeName: "magnolialock.v1.Refused",
                    reason: 0,
                    message: "the request was recalled before it started: send it again",
                    retryAfterMs: 0,
                },
            };
        case RecallOutcome.UNKNOWN:
            return { kind: "unknown", message: "the agent cannot tell whether the request ran" };
        case RecallOutcome.RUNNING:
        case RecallOutcome.UNSPECIFIED:
            return undefined;
    }
};

/**
 * Repeats the recall with backoff until the outcome is known, the deadline passes or the request is aborted.
 *
 * @param options - attempt and agent
 * @returns the outcome; `unknown` when it could not be determined in time
 */
export const recallAttempt = async (options: RecallOptions): Promise<AttemptOutcome> => {
    const { context: { runtime }, request, signal } = options;
    const backoff = new Backoff(runtime.random);
    while (!signal.aborted && request.remainingMs > 0) {
        const response = await callRecall(options);
        const outcome = response && toOutcome(options, response);
        if (outcome) {
            const { requestId } = request.caller;
            runtime.events.emit(requestRecalled, { requestId, outcome: outcome.kind });
            return outcome;
        }
        const waitMs = Math.min(backoff.nextMs(), request.remainingMs);
        await sleep(runtime.clock, waitMs, signal).catch(() => {});
    }
    return { kind: "unknown", message: "the backend server cannot be reached: ask again with the ticket" };
};
