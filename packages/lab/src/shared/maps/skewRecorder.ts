/**
 * Mean and percentiles of the skew of steps.
 *
 * @packageDocumentation
 */

interface WeightedSkew {
    readonly skew: number;
    readonly weight: number;
}

/** Collects the skew of steps. */
export class SkewRecorder {
    private readonly values: WeightedSkew[] = [];

    /**
     * Takes the skew of a drawn step.
     *
     * @param skew - slowest rank ÷ mean
     * @param weight - time for which the step stands, in any unit
     */
    public record(skew: number, weight: number): void {
        this.values.push({ skew, weight });
    }

    /** Mean over the steps. */
    public mean(): number {
        return this.values.reduce((sum, { skew, weight }) => sum + skew * weight, 0) / this.totalWeight();
    }

    /**
     * Percentile over the steps.
     *
     * @param share - share of the steps at or below the result, from 0 to 1
     * @returns the skew
     */
    public percentile(share: number): number {
        let left = share * this.totalWeight();
        for (const { skew, weight } of this.values.toSorted((one, other) => one.skew - other.skew)) {
            left -= weight;
            if (left <= 0) {
                return skew;
            }
        }
        return Number.NaN;
    }

    private totalWeight(): number {
        return this.values.reduce((sum, { weight }) => sum + weight, 0);
    }
}
