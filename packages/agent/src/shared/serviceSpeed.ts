/**
 * Judges measured times of the backend server: at warm speed or slow.
 *
 * @packageDocumentation
 */

/** How one measured time compares with the time of a warm server. */
export type SpeedVerdict = "warm" | "slow" | "verySlow";

/** A learned time allows for this factor above the best one. */
const LEARNED_TOLERANCE = 2.2;
/** Times above the warm time by this factor are proof by themselves. */
const VERY_SLOW_FACTOR = 2;
/** Measurements that make one average of the learned time. */
const SAMPLES_PER_AVERAGE = 8;

/** Longest time of a warm server: written in the rules, or learned from the best averages. */
export class ServiceSpeed {
    private readonly writtenMs: () => number | undefined;
    private bestAverageMs = Number.POSITIVE_INFINITY;
    private sumMs = 0;
    private sampleCount = 0;

    /** @param writtenMs - gives the time that the rules tell, in milliseconds */
    public constructor(writtenMs: () => number | undefined) {
        this.writtenMs = writtenMs;
    }

    /** Whether the rules tell the time. */
    public get isWritten(): boolean {
        return this.writtenMs() !== undefined;
    }

    /** Longest time of a warm server, in milliseconds; infinite while nothing is known. */
    public get warmTimeMs(): number {
        return this.writtenMs() ?? this.bestAverageMs * LEARNED_TOLERANCE;
    }

    /**
     * Judges a measured time and learns from it.
     *
     * @param timeMs - time for a token or for a whole plain answer, in milliseconds
     * @returns the verdict
     */
    public judge(timeMs: number): SpeedVerdict {
        this.learn(timeMs);
        return this.compare(timeMs);
    }

    /**
     * Compares a time with that of a warm server, without learning from it.
     *
     * @param timeMs - time for a token or for a whole plain answer so far, in milliseconds
     * @returns the verdict
     */
    public compare(timeMs: number): SpeedVerdict {
        if (timeMs <= this.warmTimeMs) {
            return "warm";
        }
        return timeMs <= this.warmTimeMs * VERY_SLOW_FACTOR ? "slow" : "verySlow";
    }

    private learn(timeMs: number): void {
        this.sumMs += timeMs;
        this.sampleCount++;
        if (this.sampleCount === SAMPLES_PER_AVERAGE) {
            this.bestAverageMs = Math.min(this.bestAverageMs, this.sumMs / SAMPLES_PER_AVERAGE);
            this.sumMs = 0;
            this.sampleCount = 0;
        }
    }
}
