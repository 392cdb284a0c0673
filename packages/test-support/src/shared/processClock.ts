/**
 * Clock of one simulated process: it can be paused, killed and run at a wrong rate.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@magnolialock/kernel";

/** Options of a {@link ProcessClock}. */
export interface ProcessClockOptions {
    /** Clock of the fleet. */
    readonly clock: Clock;
    /** Seconds that this clock counts per true second. */
    readonly rate?: number;
    /** Offset of the wall-clock time, in milliseconds. */
    readonly wallOffsetMs?: number;
}

/** Clock of one simulated process. Deliveries to the process go through {@link ProcessClock.run}. */
export class ProcessClock implements Clock {
    private readonly clock: Clock;
    private readonly rate: number;
    private readonly wallOffsetMs: number;
    private isPaused = false;
    private isKilled = false;
    private deferred: (() => void)[] = [];

    /** @param options - fleet clock, rate and offset */
    public constructor(options: ProcessClockOptions) {
        this.clock = options.clock;
        this.rate = options.rate ?? 1;
        this.wallOffsetMs = options.wallOffsetMs ?? 0;
    }

    /** {@inheritDoc Clock.nowMs} */
    public nowMs(): number {
        return this.clock.nowMs() * this.rate;
    }

    /** {@inheritDoc Clock.wallMs} */
    public wallMs(): number {
        return this.clock.wallMs() + this.wallOffsetMs;
    }

    /** {@inheritDoc Clock.setTimer} */
    public setTimer(delayMs: number, callback: () => void): Timer {
        let isCancelled = false;
        const timer = this.clock.setTimer(delayMs / this.rate, () =>
            this.run(() => {
                if (!isCancelled) {
                    callback();
                }
            }));
        const cancel = (): void => {
            isCancelled = true;
            timer.cancel();
        };
        return { cancel, [Symbol.dispose]: cancel };
    }

    /**
     * Runs something that happens to the process: at once, after the pause, or never when it was killed.
     *
     * @param action - what happens
     */
    public run(action: () => void): void {
        if (this.isKilled) {
            return;
        }
        if (this.isPaused) {
            this.deferred.push(action);
            return;
        }
        action();
    }

    /** Stops the process as SIGSTOP does: timers and messages wait. */
    public pause(): void {
        this.isPaused = true;
    }

    /** Wakes the process; what waited happens now, in order. */
    public wake(): void {
        this.isPaused = false;
        const actions = this.deferred;
        this.deferred = [];
        for (const action of actions) {
            this.run(action);
        }
    }

    /** Ends the process as SIGKILL does: nothing happens to it any more. */
    public kill(): void {
        this.isKilled = true;
        this.deferred = [];
    }

    /** Whether the process still exists. */
    public get isAlive(): boolean {
        return !this.isKilled;
    }
}
