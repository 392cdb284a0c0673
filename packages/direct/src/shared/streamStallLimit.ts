/**
 * How long callers wait for the next event of a stream.
 *
 * @packageDocumentation
 */

import type { RouteRule } from "../types/fleetPicture.ts";

/** Least pause after which callers abandon a stream, in milliseconds; the published rule is the longest of three. */
const MIN_STALL_LIMIT_MS = 2_000;
const LATENCY_TARGET_FACTOR = 4;
const GAP_TARGET_FACTOR = 8;

/**
 * Tells after which pause a caller abandons a stream.
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
