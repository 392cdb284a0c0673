/**
 * Retry delay for callers whose request no backend server took.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";

/**
 * Retry delay for callers whose request met full servers, in milliseconds: the usual duration of a request.
 */
const FULL_RETRY_AFTER_MS = 250;
const RETRY_AFTER_JITTER_MS = 500;
/** Retry delay for callers whose request found no server at all, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MS = 1_000;
/** Callers honour `Retry-After` only up to this share of their remaining time. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/**
 * Computes when a refused caller should retry.
 *
 * @param random - source of random numbers, so that retries do not all arrive at once
 * @param hasTriedServers - whether servers were asked and refused; else none could be asked
 * @param remainingMs - remaining time of the caller, in milliseconds
 * @returns the delay, in milliseconds; at most a third of the remaining time
 */
export const serverRetryAfterMs = (
    random: RandomSource,
    hasTriedServers: boolean,
    remainingMs: number,
): number => {
    const baseDelayMs = hasTriedServers ? FULL_RETRY_AFTER_MS : NO_SERVER_RETRY_AFTER_MS;
    return Math.min(
        baseDelayMs + random.nextFloat() * RETRY_AFTER_JITTER_MS,
        remainingMs * MAX_RETRY_AFTER_SHARE,
    );
};
