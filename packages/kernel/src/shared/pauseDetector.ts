/**
 * Detection of pauses of the own process (a stopped or starved process wakes up with outdated beliefs).
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.ts";

/** Options of a {@link PauseDetector}. */
export interface PauseDetectorOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Time between ticks, in milliseconds. */
    readonly tickMs?: number;
    /** Shortest gap that counts as a pause, in milliseconds. */
    readonly thresholdMs?: number;
    /** Called with the length of the gap, in milliseconds. */
    readonly onPause: (gapMs: number) => void;
}

const DEFAULT_TICK_MS = 200;
const DEFAULT_THRESHOLD_MS = 1_000;

/** Compares its own ticks with the clock. Work that arrives right after a pause calls {@link PauseDetector.check}. */
export class PauseDetector implements Disposable {
    private readonly clock: Clock;
    private readonly tickMs: number;
    private readonly thresholdMs: number;
    private readonly onPause: (gapMs: number) => void;
    private lastTickMs: number;
    private timer: Timer;

    /** @param options - clock, times and callback */
    public constructor(options: PauseDetectorOptions) {
        this.clock = options.clock;
        this.tickMs = options.tickMs ?? DEFAULT_TICK_MS;
        this.thresholdMs = options.thresholdMs ?? DEFAULT_THRESHOLD_MS;
        this.onPause = options.onPause;
        this.lastTickMs = this.clock.nowMs();
        this.timer = this.scheduleTick();
    }

    /** Looks for a gap since the last tick; a pause is reported before anything else runs. */
    public check(): void {
        const nowMs = this.clock.nowMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        if (gapMs >= this.thresholdMs) {
            this.onPause(gapMs);
        }
    }

    /** Stops the ticks. */
    public [Symbol.dispose](): void {
        this.timer.cancel();
    }

    private scheduleTick(): Timer {
        return this.clock.setTimer(this.tickMs, () => {
            this.check();
            this.timer = this.scheduleTick();
        });
    }
}
