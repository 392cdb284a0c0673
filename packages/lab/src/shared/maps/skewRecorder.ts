/**
 * Time-weighted mean and percentiles of the skew of steps.
 *
 * @packageDocumentation
 */

interface WeightedSkew {
    readonly skew: number;
    readonly weight: number;
}

/** Records the skew of steps. */
export class SkewRecorder {
    private readonly values: WeightedSkew[] = [];

    /**
     * Records the skew of a sampled step.
     *
     * @param skew - slowest rank ÷ mean
     * @param weight - time that the sampled step represents, in any unit
     */
    public record(skew: number, weight: number): void {
        this.values.push({ skew, weight });
    }

    /** Weighted mean of the skew. */
    public mean(): number {
        return this.values.reduce((sum, { skew, weight }) => sum + skew * weight, 0) / this.totalWeight();
    }

    /**
     * Computes a weighted percentile of the skew.
     *
     * @param share - share of the steps at or below the result, from 0 to 1
     * @returns the skew; NaN when no step was recorded
     */
    public percentile(share: number): number {
        let remainingWeight = share * this.totalWeight();
        for (const { skew, weight } of this.values.toSorted((one, other) => one.skew - other.skew)) {
            remainingWeight -= weight;
            if (remainingWeight <= 0) {
                return skew;
            }
        }
        return Number.NaN;
    }

    private totalWeight(): number {
        return this.values.reduce((sum, { weight }) => sum + weight, 0);
    }
}
