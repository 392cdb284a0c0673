/**
 * Tells requests that came back after a refusal from new ones: they have less time left than is usual on their route.
 *
 * @packageDocumentation
 */

/** Difference of times left that is no sign of a return, in milliseconds: callers and links differ by some. */
const TOLERANCE_MS = 150;

/** Knows how much time callers have at first, by route. */
export class CallerRetryDetector {
    private readonly maxRemainingMs = new Map<string, number>();

    /**
     * Tells whether a request came back.
     *
     * @param route - name of its route
     * @param remainingMs - time that its caller has left, in milliseconds
     */
    public isRetry(route: string, remainingMs: number): boolean {
        const maxRemainingMs = Math.max(this.maxRemainingMs.get(route) ?? 0, remainingMs);
        this.maxRemainingMs.set(route, maxRemainingMs);
        return remainingMs < maxRemainingMs - TOLERANCE_MS;
    }
}
