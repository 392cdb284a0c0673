/**
 * Rate of events, measured with weights that decay with their age.
 *
 * @packageDocumentation
 */

/** Shortest time that a new estimate is assumed to cover, in milliseconds; one early event is no high rate. */
const MIN_COVERED_MS = 500;

/** Counts events with exponentially decaying weights. */
export class DecayingRate {
    private count = 0;
    private updatedMs: number;
    private readonly startMs: number;

    /**
     * @param timeConstantMs - time in which the weight of an event falls to 1/e, in milliseconds
     * @param nowMs - current time, in milliseconds
     */
    public constructor(private readonly timeConstantMs: number, nowMs: number) {
        this.startMs = nowMs;
        this.updatedMs = nowMs;
    }

    /**
     * Records an event.
     *
     * @param nowMs - current time, in milliseconds
     */
    public record(nowMs: number): void {
        this.count = this.weight(nowMs) + 1;
        this.updatedMs = nowMs;
    }

    /**
     * Returns the decayed number of events.
     *
     * @param nowMs - current time, in milliseconds
     */
    public weight(nowMs: number): number {
        return this.count * Math.exp((this.updatedMs - nowMs) / this.timeConstantMs);
    }

    /**
     * Returns the rate in events per millisecond. A new estimate is corrected for the time that it covers.
     *
     * @param nowMs - current time, in milliseconds
     */
    public perMs(nowMs: number): number {
        const coveredMs = Math.max(MIN_COVERED_MS, nowMs - this.startMs);
        return this.weight(nowMs) / (this.timeConstantMs * (1 - Math.exp(-coveredMs / this.timeConstantMs)));
    }
}
