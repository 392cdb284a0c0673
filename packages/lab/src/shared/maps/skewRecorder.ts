/**
 * Mean and percentiles of the skew of steps.
 *
 * @packageDocumentation
 */

/** Collects the skew of steps. */
export class SkewRecorder {
    private readonly values: number[] = [];

    /**
     * Takes the skew of one step.
     *
     * @param skew - slowest rank ÷ mean
     */
    public record(skew: number): void {
        this.values.push(skew);
    }

    /** Mean over the steps. */
    public mean(): number {
        return this.values.reduce((sum, value) => sum + value, 0) / this.values.length;
    }

    /**
     * Percentile over the steps.
     *
     * @param share - share of the steps at or below the result, from 0 to 1
     * @returns the skew
     */
    public percentile(share: number): number {
        const sorted = this.values.toSorted((left, right) => left - right);
        return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN;
    }
}
