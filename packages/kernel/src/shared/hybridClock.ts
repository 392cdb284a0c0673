/**
 * Hybrid logical clock: wall-clock time with a counter that preserves causal order.
 *
 * @packageDocumentation
 */

import type { Clock } from "./clock.ts";

/** A point in hybrid logical time. */
export interface HybridTime {
    /** Wall-clock part, in milliseconds since the Unix epoch. */
    readonly wallMs: number;
    /** Counter that orders events of the same millisecond. */
    readonly counter: number;
}

/**
 * Orders two hybrid times.
 *
 * @param left - one time
 * @param right - the other
 * @returns negative, zero or positive
 */
export const compareHybridTimes = (left: HybridTime, right: HybridTime): number =>
    left.wallMs - right.wallMs || left.counter - right.counter;

/** Received times further ahead than this come from a wrong clock and are ignored, in milliseconds. */
const MAX_DRIFT_MS = 60_000;

/** Hybrid logical clock of one process. */
export class HybridClock {
    private last: HybridTime = { wallMs: 0, counter: 0 };

    /** @param clock - source of wall-clock time */
    public constructor(private readonly clock: Clock) {}

    /**
     * Advances the clock for a local event or for sending a message.
     *
     * @returns the time of the event
     */
    public tick(): HybridTime {
        const wallMs = Math.floor(this.clock.wallMs());
        this.last = wallMs > this.last.wallMs
            ? { wallMs, counter: 0 }
            : { wallMs: this.last.wallMs, counter: this.last.counter + 1 };
        return this.last;
    }

    /**
     * Advances the clock past the time of a received message. A time that is too far ahead, or not a number,
     * is ignored.
     *
     * @param remote - time that the message carried
     */
    public observe(remote: HybridTime): void {
        const isCredible = remote.wallMs <= this.clock.wallMs() + MAX_DRIFT_MS;
        if (isCredible && compareHybridTimes(remote, this.last) > 0) {
            this.last = remote;
        }
        this.tick();
    }
}
