/**
 * Measured service times by priority class.
 *
 * @packageDocumentation
 */

const SMOOTHING = 0.1;

/** Exponentially smoothed durations of calls, from start to end. */
export class ServiceTimes {
    private readonly smoothedMs = new Map<number, number>();

    /**
     * Records the duration of a finished call.
     *
     * @param priority - priority class of the call
     * @param durationMs - time from start to end, in milliseconds
     */
    public record(priority: number, durationMs: number): void {
        const previousMs = this.smoothedMs.get(priority) ?? durationMs;
        this.smoothedMs.set(priority, previousMs + SMOOTHING * (durationMs - previousMs));
    }

    /**
     * Estimates the duration of a call.
     *
     * @param priority - priority class of the call
     * @returns expected duration in milliseconds; 0 until a call of the class has finished
     */
    public expectedMs(priority: number): number {
        return this.smoothedMs.get(priority) ?? 0;
    }
}
