/**
 * Detection of pauses of this process: after it was stopped or starved of CPU time, it resumes with outdated
 * state.
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
    /** Shortest gap between ticks that counts as a pause, in milliseconds. */
    readonly thresholdMs?: number;
    /** Called with the length of the gap, in milliseconds. */
    readonly onPause: (gapMs: number) => void;
}

/** Time for which the longest delay is remembered, in milliseconds, and at most twice that. */
const DELAY_WINDOW_MS = 5_000;
const DEFAULT_TICK_MS = 200;
const DEFAULT_THRESHOLD_MS = 1_000;

/**
 * Measures the gaps between its own ticks. Work that may run right after a pause, before the next tick, calls
 * {@link PauseDetector.check} first.
 */
export class PauseDetector implements Disposable {
    private readonly clock: Clock;
    private readonly tickMs: number;
    private readonly thresholdMs: number;
    private readonly onPause: (gapMs: number) => void;
    private lastTickMs: number;
    private lastGapMs = 0;
    private windowStartMs: number;
    private longestGapMs = 0;
    private formerLongestGapMs = 0;
    private timer: Timer;

    /** @param options - clock, tick interval, threshold and callback */
    public constructor(options: PauseDetectorOptions) {
        this.clock = options.clock;
        this.tickMs = options.tickMs ?? DEFAULT_TICK_MS;
        this.thresholdMs = options.thresholdMs ?? DEFAULT_THRESHOLD_MS;
        this.onPause = options.onPause;
        this.lastTickMs = this.clock.nowMs();
        this.windowStartMs = this.lastTickMs;
        this.timer = this.scheduleTick();
    }

    /** Checks the time since the last tick or check; a pause is reported before the caller continues. */
    public check(): void {
        const nowMs = this.clock.nowMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        this.lastGapMs = gapMs;
        this.recordGap(gapMs, nowMs);
        if (gapMs >= this.thresholdMs) {
            this.onPause(gapMs);
        }
    }

    /**
     * Earliest time at which something may have happened that the process notices now, in milliseconds: the start of a gap
     * that has not been measured yet or has just ended, shorter ones than a pause included.
     */
    public get noticedFromMs(): number {
        const nowMs = this.clock.nowMs();
        const sinceTickMs = nowMs - this.lastTickMs;
        if (sinceTickMs >= 2 * this.tickMs) {
            return this.lastTickMs;
        }
        const hasJustEnded = this.lastGapMs >= 2 * this.tickMs && sinceTickMs < this.tickMs;
        return hasJustEnded ? this.lastTickMs - this.lastGapMs : nowMs;
    }

    /** Longest delay of the event loop in the last seconds, the current one included, in milliseconds. */
    public get longestDelayMs(): number {
        const sinceTickMs = this.clock.nowMs() - this.lastTickMs;
        const gapMs = Math.max(this.formerLongestGapMs, this.longestGapMs, sinceTickMs);
        return Math.max(0, gapMs - this.tickMs);
    }

    /** Stops the timer. */
    public [Symbol.dispose](): void {
        this.timer.cancel();
    }

    private recordGap(gapMs: number, nowMs: number): void {
        if (nowMs - this.windowStartMs >= DELAY_WINDOW_MS) {
            this.windowStartMs = nowMs;
            this.formerLongestGapMs = this.longestGapMs;
            this.longestGapMs = 0;
        }
        this.longestGapMs = Math.max(this.longestGapMs, gapMs);
    }

    private scheduleTick(): Timer {
        return this.clock.setTimer(this.tickMs, () => {
            this.check();
            this.timer = this.scheduleTick();
        });
    }
}
