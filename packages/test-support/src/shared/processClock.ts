/**
 * Clock of one simulated process. Tests pause or kill the process and set its clock rate and wall-clock
 * offset.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@magnolialock/kernel";

/** Options of a {@link ProcessClock}. */
export interface ProcessClockOptions {
    /** Virtual clock that all processes share. */
    readonly clock: Clock;
    /** Rate of this clock, in its own seconds per second of the shared clock; 1 by default. */
    readonly rate?: number;
    /** Offset of the wall-clock time from the shared clock, in milliseconds; 0 by default. */
    readonly wallOffsetMs?: number;
}

/** Clock of one simulated process. Deliveries to the process run through {@link ProcessClock.run}. */
export class ProcessClock implements Clock {
    private readonly clock: Clock;
    private readonly rate: number;
    private readonly wallOffsetMs: number;
    private isPaused = false;
    private isKilled = false;
    private deferredActions: (() => void)[] = [];

    /** @param options - shared clock, rate and wall-clock offset */
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
     * Runs an action inside the process: at once, after the pause when the process is paused, or never when
     * it was killed.
     *
     * @param action - action to run, for example a timer callback or the delivery of a message
     */
    public run(action: () => void): void {
        if (this.isKilled) {
            return;
        }
        if (this.isPaused) {
            this.deferredActions.push(action);
            return;
        }
        action();
    }

    /** Pauses the process like SIGSTOP: timer callbacks and deliveries are deferred. */
    public pause(): void {
        this.isPaused = true;
    }

    /** Resumes the process like SIGCONT: the deferred actions run now, in order. */
    public resume(): void {
        this.isPaused = false;
        const actions = this.deferredActions;
        this.deferredActions = [];
        for (const action of actions) {
            this.run(action);
        }
    }

    /** Kills the process like SIGKILL: no timer callback or delivery runs any more. */
    public kill(): void {
        this.isKilled = true;
        this.deferredActions = [];
    }

    /** Whether the process has not been killed; also true while it is paused. */
    public get isAlive(): boolean {
        return !this.isKilled;
    }
}
