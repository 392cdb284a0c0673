/**
 * Model of the passes of a group of model servers: how long a pass takes by the engine's timing.
 *
 * It handles the load pattern of full slots with prompts of very different length, where the pauses between the events
 * of a stream grow with the requests that run and with the prompts that are read beside them.
 *
 * @packageDocumentation
 */

import type { EngineTiming } from "../../types/publishedState.ts";

/** Load of one server during a pass. */
export interface PassLoad {
    /** Requests that generate output. */
    readonly requests: number;
    /** Prompt tokens that wait to be read; a pass reads at most {@link maxReadTokens}. */
    readonly readTokens: number;
}

const TOKENS_PER_THOUSAND = 1_000;
const PAIRS_PER_MILLION = 1_000_000;

/**
 * Returns the most prompt tokens that a server reads in one pass.
 *
 * @param timing - timing of the engine
 */
export const maxReadTokens = ({ readTokensPerStep, stepsPerPass }: EngineTiming): number =>
    readTokensPerStep * stepsPerPass;

/**
 * Returns the time to read a prompt.
 *
 * @param timing - timing of the engine
 * @param tokens - length of the prompt, in tokens
 * @returns the time, in milliseconds
 */
export const readMs = (timing: EngineTiming, tokens: number): number =>
    tokens / timing.readTokensPerMs + timing.perMillionPairsMs * tokens * tokens / 2 / PAIRS_PER_MILLION;

/** Time that one more request adds to a step, with the context that it has on average, in milliseconds. */
const requestMs = (timing: EngineTiming): number => {
    const contextTokens = timing.usualPromptTokens + timing.usualAnswerTokens / 2;
    return timing.perRequestMs + timing.perThousandContextMs * contextTokens / TOKENS_PER_THOUSAND;
};

/**
 * Predicts the duration of a pass; each request that generates output sends one event per pass.
 *
 * @param timing - timing of the engine
 * @param load - load of the slowest server
 * @returns the duration, in milliseconds
 */
export const passMs = (timing: EngineTiming, { readTokens, requests }: PassLoad): number =>
    timing.stepsPerPass * (timing.stepMs + requests * requestMs(timing))
    + readMs(timing, Math.min(readTokens, maxReadTokens(timing)));

/**
 * Returns how many requests a server can run so that a pass takes at most a given time.
 *
 * @param timing - timing of the engine
 * @param limitMs - maximum duration of a pass, in milliseconds
 * @param readTokens - prompt tokens that are read during the pass
 * @returns the number, not rounded; negative if the reading alone takes longer
 */
export const requestsWithin = (timing: EngineTiming, limitMs: number, readTokens: number): number => {
    const emptyMs = passMs(timing, { requests: 0, readTokens });
    return (limitMs - emptyMs) / (timing.stepsPerPass * requestMs(timing));
};
