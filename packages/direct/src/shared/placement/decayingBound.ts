/**
 * Upper bound for most of the recent samples: their moving average plus a multiple of their moving deviation, as the
 * retransmission timeout of TCP is estimated (RFC 6298).
 *
 * @packageDocumentation
 */

/** Weight of a new sample: some 16 samples, which are 1 to 2 seconds of passes, decide. */
const WEIGHT = 1 / 16;
/** Twice the mean deviation above the mean lie some 5 % of the samples. */
const DEVIATIONS = 2;

/** Estimates the bound. */
export class DecayingBound {
    private mean: number | undefined;
    private deviation = 0;

    /** The bound; undefined before the first sample. */
    public get value(): number | undefined {
        return this.mean === undefined ? undefined : this.mean + DEVIATIONS * this.deviation;
    }

    /** Forgets all samples. */
    public reset(): void {
        this.mean = undefined;
        this.deviation = 0;
    }

    /**
     * Records a sample.
     *
     * @param sample - the sample
     */
    public record(sample: number): void {
        const difference = sample - (this.mean ?? sample);
        this.mean = (this.mean ?? sample) + WEIGHT * difference;
        this.deviation += WEIGHT * (Math.abs(difference) - this.deviation);
    }
}
