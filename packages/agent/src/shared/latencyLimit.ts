/**
 * Concurrency limit that adapts to measured latency: additive increase, multiplicative decrease.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/** Options of a {@link LatencyLimit}. */
export interface LatencyLimitOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Gives the longest time that a warm server needs for a token or a plain answer, in milliseconds. */
    readonly warmTimeMs: () => number;
    /** Gives the concurrency that the server sustains in every state; the limit never falls below it. */
    readonly floor: () => number;
}

/** Share of the warm time above which the smoothed time lowers the limit. */
const TARGET_SHARE = 0.8;
const SMOOTHING = 0.2;
const DECREASE_FACTOR = 0.9;
/** Shortest time between two decreases, in milliseconds: a lower limit takes effect only after some time. */
const DECREASE_INTERVAL_MS = 250;
const INCREASE_PER_S = 2;
const MS_PER_S = 1_000;

/** Limits the concurrency so that the backend server stays below the load at which it slows down. */
export class LatencyLimit {
    private readonly options: LatencyLimitOptions;
    private limit = Number.POSITIVE_INFINITY;
    private smoothedMs: number | undefined;
    private lastChangeMs = Number.NEGATIVE_INFINITY;

    /** @param options - clock, warm time and lower bound */
    public constructor(options: LatencyLimitOptions) {
        this.options = options;
    }

    /**
     * Computes the limit, capped at a ceiling.
     *
     * @param ceiling - number of calls that the backend server sustains in its present state
     * @returns number of calls that may run concurrently
     */
    public cappedAt(ceiling: number): number {
        return Math.min(ceiling, Math.max(this.options.floor(), Math.floor(this.limit)));
    }

    /**
     * Records a measured time and adjusts the limit.
     *
     * @param timeMs - time per token or for a complete plain answer, in milliseconds
     * @param running - number of running calls
     */
    public record(timeMs: number, running: number): void {
        this.smoothedMs = this.smoothedMs === undefined
            ? timeMs
            : this.smoothedMs + SMOOTHING * (timeMs - this.smoothedMs);
        if (this.smoothedMs > this.options.warmTimeMs() * TARGET_SHARE) {
            this.decrease(running);
            return;
        }
        this.increase(running);
    }

    /**
     * Records that the backend server itself refused a call, and lowers the limit.
     *
     * @param running - number of running calls
     */
    public recordRefusal(running: number): void {
        this.decrease(running);
    }

    /** Discards all measurements and lifts the limit, because the backend server has changed its state. */
    public reset(): void {
        this.limit = Number.POSITIVE_INFINITY;
        this.smoothedMs = undefined;
    }

    private decrease(running: number): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.lastChangeMs < DECREASE_INTERVAL_MS) {
            return;
        }
        this.lastChangeMs = nowMs;
        this.limit = Math.max(this.options.floor(), Math.min(this.limit, running) * DECREASE_FACTOR);
    }

    private increase(running: number): void {
        if (this.limit === Number.POSITIVE_INFINITY || running < Math.floor(this.limit)) {
            return;
        }
        const nowMs = this.options.clock.nowMs();
        const elapsedMs = Math.min(nowMs - this.lastChangeMs, DECREASE_INTERVAL_MS);
        this.lastChangeMs = nowMs;
        this.limit += (INCREASE_PER_S * elapsedMs) / MS_PER_S;
    }
}
