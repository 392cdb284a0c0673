/**
 * Runs one attempt at a request, and checks that the answer belongs to the attempt and is complete.
 *
 * @packageDocumentation
 */

import { errorMessage, type Runtime } from "@magnolialock/kernel";
import type { RunRequest } from "@magnolialock/protocol";
import type { AgentPeer } from "./agentPeer.ts";
import {
    type AnswerConsumer,
    AnswerReader,
    type AnswerReaderOptions,
    type AttemptOutcome,
} from "./answerReader.ts";

/** Options of {@link runAttempt}. */
export interface AttemptOptions {
    /** Runtime of the process. */
    readonly runtime: Runtime;
    /** Agent to call. */
    readonly peer: AgentPeer;
    /** Message of the attempt. */
    readonly request: RunRequest;
    /** Aborts the attempt. */
    readonly signal: AbortSignal;
    /** Receives the events of the answer. */
    readonly consume: AnswerConsumer;
    /** See {@link AnswerReaderOptions.rejectHead}. */
    readonly rejectHead?: AnswerReaderOptions["rejectHead"];
}

const readAnswer = async (options: AttemptOptions, onEvent: () => void): Promise<AttemptOutcome> => {
    const { peer, request, runtime, signal } = options;
    const reader = new AnswerReader(options);
    const sentMs = runtime.clock.nowMs();
    try {
        for await (const event of peer.session.run(request, signal)) {
            onEvent();
            if (event.event.case === "admitted") {
                peer.recordRoundTrip(runtime.clock.nowMs() - sentMs - event.event.value.queuedMs);
            }
            reader.read(event);
            if (reader.outcome) {
                return reader.outcome;
            }
        }
        return { kind: "unreachable", message: "the agent's answer ended early" };
    }
    catch (error) {
        return { kind: "unreachable", message: errorMessage(error) };
    }
};

/**
 * Runs one attempt.
 *
 * @param options - agent, attempt and consumer of the answer
 * @returns the outcome
 */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptOutcome> => {
    const { peer, signal } = options;
    const tracked = peer.beginAttempt();
    let outcome: AttemptOutcome | undefined;
    try {
        outcome = await readAnswer(options, () => tracked.recordEvent());
        return outcome;
    }
    finally {
        const isFailure = outcome?.kind === "unreachable" || outcome?.kind === "unknown";
        tracked.end(isFailure && !signal.aborted ? "failed" : "ended");
    }
};
