/**
 * Virtual time for tests. Timers fire in the order of their due times, without waiting for real time.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@magnolialock/kernel";
import TinyQueue from "tinyqueue";

interface PendingTimer {
    readonly dueMs: number;
    readonly sequenceNumber: number;
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
 * Lets all pending promise callbacks run: Node.js empties the microtask queue before the next `setImmediate`
 * callback.
 *
 * @returns a promise that resolves once no microtask is pending
 */
const drainMicrotasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Virtual clock of a simulated fleet. Each process reads it through a {@link ProcessClock}. */
export class VirtualClock implements Clock {
    private currentTimeMs = 0;
    private nextSequenceNumber = 0;
    private readonly startWallMs: number;
    private readonly timers = new TinyQueue<PendingTimer>(
        [],
        (left, right) => left.dueMs - right.dueMs || left.sequenceNumber - right.sequenceNumber,
    );

    /** @param options - wall-clock time at the start */
    public constructor(options: VirtualClockOptions = {}) {
        this.startWallMs = options.startWallMs ?? DEFAULT_START_WALL_MS;
    }

    /** {@inheritDoc Clock.nowMs} */
    public nowMs(): number {
        return this.currentTimeMs;
    }

    /** {@inheritDoc Clock.wallMs} */
    public wallMs(): number {
        return this.startWallMs + this.currentTimeMs;
    }

    /** {@inheritDoc Clock.setTimer} */
    public setTimer(delayMs: number, callback: () => void): Timer {
        const timer: PendingTimer = {
            dueMs: this.currentTimeMs + Math.max(0, delayMs),
            sequenceNumber: this.nextSequenceNumber++,
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
     * Runs all timers that are due up to a point in time, and sets the clock to it.
     *
     * @param untilMs - monotonic virtual time to stop at, in milliseconds
     */
    public async runUntil(untilMs: number): Promise<void> {
        await drainMicrotasks();
        for (
            let nextTimer = this.timers.peek();
            nextTimer && nextTimer.dueMs <= untilMs;
            nextTimer = this.timers.peek()
        ) {
            this.timers.pop();
            if (nextTimer.isCancelled) {
                continue;
            }
            this.currentTimeMs = Math.max(this.currentTimeMs, nextTimer.dueMs);
            nextTimer.callback();
            await drainMicrotasks();
        }
        this.currentTimeMs = Math.max(this.currentTimeMs, untilMs);
    }

    /**
     * Advances the clock and runs the timers that become due.
     *
     * @param durationMs - virtual time to run, in milliseconds
     */
    public advance(durationMs: number): Promise<void> {
        return this.runUntil(this.currentTimeMs + durationMs);
    }

    /**
     * Runs timers until a promise settles.
     *
     * @param promise - promise to wait for
     * @param limitMs - longest virtual time to run, in milliseconds
     * @returns the value of the promise
     * @throws RangeError when no timer that is due within the limit settles the promise
     */
    public async runUntilSettled<T>(promise: Promise<T>, limitMs: number): Promise<T> {
        const endMs = this.currentTimeMs + limitMs;
        let isSettled = false;
        const markSettled = (): void => {
            isSettled = true;
        };
        promise.then(markSettled, markSettled);
        await drainMicrotasks();
        while (!isSettled) {
            const nextTimer = this.timers.peek();
            if (!nextTimer || nextTimer.dueMs > endMs) {
                throw new RangeError(`promise is still pending after ${limitMs} ms of virtual time`);
            }
            await this.runUntil(nextTimer.dueMs);
        }
        return promise;
    }
}
