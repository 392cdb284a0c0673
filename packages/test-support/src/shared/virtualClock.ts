/**
 * Virtual time. Timers fire in the order of their due time; nothing waits for real time.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@magnolialock/kernel";
import TinyQueue from "tinyqueue";

interface PendingTimer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
    isCancelled: boolean;
}

/** Options of a {@link VirtualClock}. */
export interface VirtualClockOptions {
    /** Wall-clock time at the start, in milliseconds since the Unix epoch. */
    readonly startWallMs?: number;
}

const DEFAULT_START_WALL_MS = Date.UTC(2026, 0, 1);

/**
 * Lets all pending promise callbacks run. Promises settle in microtasks, which end before the next macrotask.
 *
 * @returns a promise that resolves when the tasks are idle
 */
const settleTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Clock of a whole simulated fleet. Each process sees it through a {@link ProcessClock}. */
export class VirtualClock implements Clock {
    private timeMs = 0;
    private nextOrder = 0;
    private readonly startWallMs: number;
    private readonly timers = new TinyQueue<PendingTimer>(
        [],
        (left, right) => left.dueMs - right.dueMs || left.order - right.order,
    );

    /** @param options - start time */
    public constructor(options: VirtualClockOptions = {}) {
        this.startWallMs = options.startWallMs ?? DEFAULT_START_WALL_MS;
    }

    /** {@inheritDoc Clock.nowMs} */
    public nowMs(): number {
        return this.timeMs;
    }

    /** {@inheritDoc Clock.wallMs} */
    public wallMs(): number {
        return this.startWallMs + this.timeMs;
    }

    /** {@inheritDoc Clock.setTimer} */
    public setTimer(delayMs: number, callback: () => void): Timer {
        const timer: PendingTimer = {
            dueMs: this.timeMs + Math.max(0, delayMs),
            order: this.nextOrder++,
            callback,
            isCancelled: false,
        };
        this.timers.push(timer);
        const cancel = (): void => {
            timer.isCancelled = true;
        };
        return { cancel, [Symbol.dispose]: cancel };
    }

    /**
     * Runs all timers up to a point in time.
     *
     * @param untilMs - virtual time to stop at, in milliseconds
     */
    public async runUntil(untilMs: number): Promise<void> {
        await settleTasks();
        for (let next = this.timers.peek(); next && next.dueMs <= untilMs; next = this.timers.peek()) {
            this.timers.pop();
            if (next.isCancelled) {
                continue;
            }
            this.timeMs = Math.max(this.timeMs, next.dueMs);
            next.callback();
            await settleTasks();
        }
        this.timeMs = Math.max(this.timeMs, untilMs);
    }

    /**
     * Runs for a time.
     *
     * @param durationMs - how long, in milliseconds
     */
    public advance(durationMs: number): Promise<void> {
        return this.runUntil(this.timeMs + durationMs);
    }

    /**
     * Runs until a promise settles.
     *
     * @param promise - what to wait for
     * @param limitMs - longest virtual time to run, in milliseconds
     * @returns the value of the promise
     * @throws RangeError when the promise is still pending at the limit
     */
    public async runUntilSettled<T>(promise: Promise<T>, limitMs: number): Promise<T> {
        const endMs = this.timeMs + limitMs;
        let isSettled = false;
        const markSettled = (): void => {
            isSettled = true;
        };
        promise.then(markSettled, markSettled);
        await settleTasks();
        while (!isSettled) {
            const next = this.timers.peek();
            if (!next || next.dueMs > endMs) {
                throw new RangeError(`still pending after ${limitMs} ms of virtual time`);
            }
            await this.runUntil(next.dueMs);
        }
        return promise;
    }
}
