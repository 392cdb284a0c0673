/**
 * How long callers wait for the next event of a stream.
 *
 * @packageDocumentation
 */

import type { RouteRule } from "../types/fleetPicture.ts";

/** Least pause after which callers abandon a stream, in milliseconds; the published rule is the longest of three. */
const STREAM_PATIENCE_MS = 2_000;
const PATIENCE_PER_TARGET = 4;
const PATIENCE_PER_GAP = 8;

/**
 * Tells after which pause a caller abandons a stream.
 *
 * @param route - route of the stream
 * @returns the pause, in milliseconds
 */
export const streamPatienceMs = ({ targetGapMs, targetLatencyMs }: RouteRule): number =>
    Math.max(
        STREAM_PATIENCE_MS,
        PATIENCE_PER_TARGET * targetLatencyMs,
        PATIENCE_PER_GAP * (targetGapMs ?? 0),
    );
