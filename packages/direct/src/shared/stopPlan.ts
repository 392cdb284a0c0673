/**
 * Decides which requests an instance that stops still passes on to backend servers.
 *
 * The load pattern: for a while after the signal the balancer still sends new connections, and callers go on using
 * open ones until they learn that they are closed. What is cut at the end may have run and cannot be repeated
 * safely; what is refused before it was passed on is retried at another instance at once.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/**
 * Time after the signal to stop from which a request is passed on only if it must end in time, in milliseconds.
 * Before, most requests end long before their deadlines, and there may be no other instance to take them.
 */
const LATE_AFTER_MS = 2_500;

/** Plan of one stop. */
export class StopPlan {
    private times: { readonly lateFromMs: number; readonly endMs: number; } | undefined;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /** Whether the instance stops. */
    public get isBegun(): boolean {
        return this.times !== undefined;
    }

    /**
     * Begins the stop.
     *
     * @param startMs - time of the signal, on the process's clock, in milliseconds
     * @param endMs - time at which requests that still run are ended, in milliseconds
     * @returns the time from which requests may be too late, in milliseconds
     */
    public begin(startMs: number, endMs: number): number {
        const lateFromMs = Math.min(endMs, startMs + LATE_AFTER_MS);
        this.times = { lateFromMs, endMs };
        return lateFromMs;
    }

    /**
     * Tells whether a request that no backend server has yet may be passed on.
     *
     * @param deadlineMs - time by which it has an answer in any case, on the process's clock, in milliseconds
     */
    public mayPassOn(deadlineMs: number): boolean {
        return this.times === undefined || this.clock.nowMs() < this.times.lateFromMs
            || deadlineMs <= this.times.endMs;
    }
}
