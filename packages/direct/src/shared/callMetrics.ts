/**
 * Counters and histograms of calls, apart from the library that serves them.
 *
 * @packageDocumentation
 */

/** How a call ended. */
export type CallResult = "answered" | "refused" | "failed" | "left";

/** Takes the measurements of calls. */
export interface CallMetrics {
    /**
     * Counts a call that is over.
     *
     * @param result - how it ended
     * @param service - its service; empty when none was chosen
     * @param status - status that the caller got; 0 when none
     * @param durationMs - time since the request was read, in milliseconds
     */
    countCall(result: CallResult, service: string, status: number, durationMs: number): void;
    /**
     * Notes the time to the first byte of an answer.
     *
     * @param service - the service
     * @param latencyMs - time since the request was read, in milliseconds
     */
    observeFirstByte(service: string, latencyMs: number): void;
    /**
     * Counts an attempt.
     *
     * @param service - the service
     * @param result - how it ended
     */
    countAttempt(service: string, result: string): void;
}

/** Metrics that go nowhere. */
export const noCallMetrics: CallMetrics = {
    countCall: () => {},
    observeFirstByte: () => {},
    countAttempt: () => {},
};
