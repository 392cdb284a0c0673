/**
 * Measured service times by class of urgency.
 *
 * @packageDocumentation
 */

const SMOOTHING = 0.1;

/** Smoothed time from start to end of calls. */
export class ServiceTimes {
    private readonly smoothedMs = new Map<number, number>();

    /**
     * Notes a finished call.
     *
     * @param priority - its class
     * @param durationMs - time from start to end, in milliseconds
     */
    public note(priority: number, durationMs: number): void {
        const previousMs = this.smoothedMs.get(priority) ?? durationMs;
        this.smoothedMs.set(priority, previousMs + SMOOTHING * (durationMs - previousMs));
    }

    /**
     * Gives the time that a call will take.
     *
     * @param priority - its class
     * @returns milliseconds; 0 while nothing of the class has finished
     */
    public expectedMs(priority: number): number {
        return this.smoothedMs.get(priority) ?? 0;
    }
}
