/**
 * Measures how long a pass takes.
 *
 * @packageDocumentation
 */

/** Weight of a new span in the mean; a few spans of a fifth of a second decide. */
const SPAN_WEIGHT = 0.3;

/** Follows the passes of one rank. */
export class PassMeter {
    private last: { readonly pass: number; readonly atMs: number; } | undefined;
    private meanMs: number | undefined;

    /** Mean time of a pass while requests ran, in milliseconds; undefined before the first. */
    public get passMs(): number | undefined {
        return this.meanMs;
    }

    /**
     * Takes the state of the rank.
     *
     * @param pass - last pass that was begun
     * @param runningRequests - requests that run; an idle group makes no passes
     * @param nowMs - time of the state, in milliseconds
     */
    public add(pass: number, runningRequests: number, nowMs: number): void {
        const { last } = this;
        this.last = { pass, atMs: nowMs };
        if (!last || pass <= last.pass || runningRequests === 0) {
            return;
        }
        const spanMs = (nowMs - last.atMs) / (pass - last.pass);
        this.meanMs = this.meanMs === undefined ? spanMs : this.meanMs + SPAN_WEIGHT * (spanMs - this.meanMs);
    }
}
