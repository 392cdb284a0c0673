/**
 * Distinguishes requests that a caller retries after a refusal from new requests. A retry has less time left
 * than is usual on its route.
 *
 * @packageDocumentation
 */

/**
 * Difference in remaining time that does not indicate a retry, in milliseconds: callers and links vary by as
 * much.
 */
const TOLERANCE_MS = 150;

/** Tracks the longest remaining time of requests, by route: that of new requests. */
export class CallerRetryDetector {
    private readonly maxRemainingMs = new Map<string, number>();

    /**
     * Determines whether a request is a retry after a refusal.
     *
     * @param route - name of its route
     * @param remainingMs - remaining time of its caller, in milliseconds
     */
    public isRetry(route: string, remainingMs: number): boolean {
        const maxRemainingMs = Math.max(this.maxRemainingMs.get(route) ?? 0, remainingMs);
        this.maxRemainingMs.set(route, maxRemainingMs);
        return remainingMs < maxRemainingMs - TOLERANCE_MS;
    }
}
