/**
 * How long callers wait for the next event of a stream before they abandon it.
 *
 * @packageDocumentation
 */

import type { RouteRule } from "../types/publishedState.ts";

/**
 * Shortest pause after which callers abandon a stream, in milliseconds; the published rule is the maximum of
 * this and the two multiples below.
 */
const MIN_STALL_LIMIT_MS = 2_000;
const LATENCY_TARGET_FACTOR = 4;
const GAP_TARGET_FACTOR = 8;

/**
 * Computes the pause between events after which a caller abandons a stream.
 *
 * @param route - route of the stream
 * @returns the pause, in milliseconds
 */
export const streamStallLimitMs = ({ targetGapMs, targetLatencyMs }: RouteRule): number =>
    Math.max(
        MIN_STALL_LIMIT_MS,
        LATENCY_TARGET_FACTOR * targetLatencyMs,
        GAP_TARGET_FACTOR * (targetGapMs ?? 0),
    );
