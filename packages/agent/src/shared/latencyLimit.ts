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
    /** Gives the longest time of a warm server, in milliseconds. */
    readonly warmTimeMs: () => number;
    /** Gives the limit that the backend server bears in every state; the limit never falls below it. */
    readonly floor: () => number;
}

/** The limit falls when the smoothed time is above this share of the warm time. */
const TARGET_SHARE = 0.8;
const SMOOTHING = 0.2;
const DECREASE_FACTOR = 0.9;
/** Shortest time between two decreases, in milliseconds: a smaller limit needs time to show. */
const DECREASE_INTERVAL_MS = 250;
const INCREASE_PER_S = 2;
const MS_PER_S = 1_000;

/** Keeps the backend server below the load at which it slows down. */
export class LatencyLimit {
    private readonly options: LatencyLimitOptions;
    private limit = Number.POSITIVE_INFINITY;
    private smoothedMs: number | undefined;
    private changedMs = Number.NEGATIVE_INFINITY;

    /** @param options - clock and warm time */
    public constructor(options: LatencyLimitOptions) {
        this.options = options;
    }

    /**
     * Gives the limit under a ceiling.
     *
     * @param ceiling - calls that the backend server bears in its state
     * @returns calls that may run at once
     */
    public under(ceiling: number): number {
        return Math.min(ceiling, Math.max(this.options.floor(), Math.floor(this.limit)));
    }

    /**
     * Notes a measured time.
     *
     * @param timeMs - time for a token or for a whole plain answer, in milliseconds
     * @param running - calls that run
     */
    public note(timeMs: number, running: number): void {
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
     * Notes that the backend server refused a call by itself.
     *
     * @param running - calls that run
     */
    public noteRefused(running: number): void {
        this.decrease(running);
    }

    /** Forgets what was measured, for the backend server has changed its state. */
    public reset(): void {
        this.limit = Number.POSITIVE_INFINITY;
        this.smoothedMs = undefined;
    }

    private decrease(running: number): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.changedMs < DECREASE_INTERVAL_MS) {
            return;
        }
        this.changedMs = nowMs;
        this.limit = Math.max(this.options.floor(), Math.min(this.limit, running) * DECREASE_FACTOR);
    }

    private increase(running: number): void {
        if (this.limit === Number.POSITIVE_INFINITY || running < Math.floor(this.limit)) {
            return;
        }
        const nowMs = this.options.clock.nowMs();
        const elapsedMs = Math.min(nowMs - this.changedMs, DECREASE_INTERVAL_MS);
        this.changedMs = nowMs;
        this.limit += (INCREASE_PER_S * elapsedMs) / MS_PER_S;
    }
}
