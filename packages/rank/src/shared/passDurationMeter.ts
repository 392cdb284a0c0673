/**
 * Measures the duration of a forward pass.
 *
 * @packageDocumentation
 */

/**
 * Weight of a new sample in the moving average: a few samples, each over a fifth of a second, dominate it.
 */
const EWMA_WEIGHT = 0.3;

/** Moving average of the pass duration of one rank. */
export class PassDurationMeter {
    private lastSample: { readonly pass: number; readonly atMs: number; } | undefined;
    private meanMs: number | undefined;

    /** Mean duration of a pass while requests ran, in milliseconds; undefined before the first sample. */
    public get passMs(): number | undefined {
        return this.meanMs;
    }

    /**
     * Adds a sample of the rank's state.
     *
     * @param pass - last pass that started
     * @param runningRequests - requests in progress; an idle group runs no passes
     * @param nowMs - time of the sample, in milliseconds
     */
    public add(pass: number, runningRequests: number, nowMs: number): void {
        const { lastSample } = this;
        this.lastSample = { pass, atMs: nowMs };
        if (!lastSample || pass <= lastSample.pass || runningRequests === 0) {
            return;
        }
        const spanMs = (nowMs - lastSample.atMs) / (pass - lastSample.pass);
        this.meanMs = this.meanMs === undefined ? spanMs : this.meanMs + EWMA_WEIGHT * (spanMs - this.meanMs);
    }
}
