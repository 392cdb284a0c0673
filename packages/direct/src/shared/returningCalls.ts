/**
 * Tells requests that came back after a refusal from new ones: they have less time left than is usual on their route.
 *
 * @packageDocumentation
 */

/** Difference of times left that is no sign of a return, in milliseconds: callers and links differ by some. */
const DIFFERENCE_MS = 150;

/** Knows how much time callers have at first, by route. */
export class ReturningCalls {
    private readonly longestMs = new Map<string, number>();

    /**
     * Tells whether a request came back.
     *
     * @param route - name of its route
     * @param leftMs - time that its caller has left, in milliseconds
     */
    public isReturn(route: string, leftMs: number): boolean {
        const longestMs = Math.max(this.longestMs.get(route) ?? 0, leftMs);
        this.longestMs.set(route, longestMs);
        return leftMs < longestMs - DIFFERENCE_MS;
    }
}
