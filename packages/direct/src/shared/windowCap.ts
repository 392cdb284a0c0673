/**
 * Caps how many requests start in any second.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import Denque from "denque";

const WINDOW_MS = 1_000;

/** Counts the starts of the last second. */
export class WindowCap {
    private readonly startsMs = new Denque<number>();

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /**
     * Tells whether another request may start.
     *
     * @param cap - most starts in one second
     */
    public hasRoom(cap: number): boolean {
        const sinceMs = this.clock.nowMs() - WINDOW_MS;
        for (let first = this.startsMs.peekFront(); first !== undefined && first <= sinceMs;) {
            this.startsMs.shift();
            first = this.startsMs.peekFront();
        }
        return this.startsMs.length < cap;
    }

    /** Counts a start. */
    public noteStart(): void {
        this.startsMs.push(this.clock.nowMs());
    }
}
