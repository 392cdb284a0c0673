/**
 * Classifies measured times of the backend server by the time that a warm server needs.
 *
 * @packageDocumentation
 */

/** Class of a measured time: within the warm time, moderately above it, or far above it. */
export type SpeedClass = "warm" | "slow" | "verySlow";

/** Factor by which the learned warm time exceeds the best average of the measured times. */
const LEARNED_TOLERANCE = 2.2;
/** Multiple of the warm time above which a single measurement proves that the server is cold. */
const VERY_SLOW_FACTOR = 2;
/** Number of measurements per average. */
const SAMPLES_PER_AVERAGE = 8;

/** Longest time that a warm server needs: set in the rules or learned from the best average of times. */
export class ServiceSpeed {
    private readonly configuredMs: () => number | undefined;
    private bestAverageMs = Number.POSITIVE_INFINITY;
    private sumMs = 0;
    private sampleCount = 0;

    /** @param configuredMs - gives the warm time of the rules in milliseconds; undefined if they set none */
    public constructor(configuredMs: () => number | undefined) {
        this.configuredMs = configuredMs;
    }

    /** Whether the rules set the warm time. */
    public get isConfigured(): boolean {
        return this.configuredMs() !== undefined;
    }

    /** Longest time that a warm server needs, in milliseconds; infinite until set or learned. */
    public get warmTimeMs(): number {
        return this.configuredMs() ?? this.bestAverageMs * LEARNED_TOLERANCE;
    }

    /**
     * Adds a measured time to the learned warm time and classifies it.
     *
     * @param timeMs - time per token or for a complete plain answer, in milliseconds
     * @returns the class
     */
    public recordAndClassify(timeMs: number): SpeedClass {
        this.updateBestAverage(timeMs);
        return this.classify(timeMs);
    }

    /**
     * Classifies a time without learning from it.
     *
     * @param timeMs - time so far for a token or for a complete plain answer, in milliseconds
     * @returns the class
     */
    public classify(timeMs: number): SpeedClass {
        if (timeMs <= this.warmTimeMs) {
            return "warm";
        }
        return timeMs <= this.warmTimeMs * VERY_SLOW_FACTOR ? "slow" : "verySlow";
    }

    private updateBestAverage(timeMs: number): void {
        this.sumMs += timeMs;
        this.sampleCount++;
        if (this.sampleCount === SAMPLES_PER_AVERAGE) {
            this.bestAverageMs = Math.min(this.bestAverageMs, this.sumMs / SAMPLES_PER_AVERAGE);
            this.sumMs = 0;
            this.sampleCount = 0;
        }
    }
}
