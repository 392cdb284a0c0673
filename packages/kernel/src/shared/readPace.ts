/**
 * Limits the work that one response of a server causes. Engines write a few events a second to each stream; a faulty server may
 * send events, or chunks of few bytes, as fast as the connection carries them, and reading all of them would take the time of
 * all other callers.
 *
 * @packageDocumentation
 */

import type { Clock } from "./clock.ts";

/** What one response may bring in a second in the long run. */
export interface PaceLimits {
    /** Events of a stream, or pieces of another body. */
    readonly itemsPerS: number;
    /** Bytes. */
    readonly bytesPerS: number;
}

/** Limits of a stream of events. */
export const STREAM_PACE: PaceLimits = { itemsPerS: 1_000, bytesPerS: 2 * 1024 * 1024 };
/** Limits of a body that is buffered up to a limit of its own: only many small pieces are slowed down. */
export const BODY_PACE: PaceLimits = { itemsPerS: 10_000, bytesPerS: Number.POSITIVE_INFINITY };
/** Time whose events and bytes may come at once, in milliseconds: a stream that is resumed catches up. */
const BURST_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Tells when to read a response on. */
export class ReadPace {
    /** Time up to which the allowance of the response is used up, in milliseconds. */
    private spentUntilMs = Number.NEGATIVE_INFINITY;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /**
     * Records what has been read.
     *
     * @param items - number of events or pieces
     * @param bytes - their bytes
     * @param limits - what the response may bring
     * @returns time until more should be read, in milliseconds; 0 at once
     */
    public record(items: number, bytes: number, { bytesPerS, itemsPerS }: PaceLimits): number {
        const nowMs = this.clock.nowMs();
        const costMs = Math.max(items / itemsPerS, bytes / bytesPerS) * MS_PER_SECOND;
        this.spentUntilMs = Math.max(this.spentUntilMs, nowMs - BURST_MS) + costMs;
        return Math.max(0, this.spentUntilMs - nowMs);
    }
}
