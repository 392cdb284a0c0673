/**
 * Sliding-window limit on the number of requests that start within any second.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import Denque from "denque";

const WINDOW_MS = 1_000;

/** Counts the starts within the last second. */
export class StartRateLimit {
    private readonly startsMs = new Denque<number>();

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /**
     * Checks whether another request may start now; it does not count a start.
     *
     * @param maxStarts - maximum number of starts per second
     */
    public allows(maxStarts: number): boolean {
        const windowStartMs = this.clock.nowMs() - WINDOW_MS;
        for (let oldestMs = this.startsMs.peekFront(); oldestMs !== undefined && oldestMs <= windowStartMs;) {
            this.startsMs.shift();
            oldestMs = this.startsMs.peekFront();
        }
        return this.startsMs.length < maxStarts;
    }

    /** Counts a start at the current time. */
    public recordStart(): void {
        this.startsMs.push(this.clock.nowMs());
    }
}
