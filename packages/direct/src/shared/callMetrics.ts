/**
 * Interface of the request metrics, independent of the metrics library.
 *
 * @packageDocumentation
 */

/** How a request ended. */
export type CallResult = "answered" | "refused" | "failed" | "left";

/** Records measurements of requests and attempts. */
export interface CallMetrics {
    /**
     * Counts a finished request.
     *
     * @param result - how it ended
     * @param service - its service; empty if none was selected
     * @param status - status that was sent to the caller; 0 if none was
     * @param durationMs - time since the request was received, in milliseconds
     */
    countCall(result: CallResult, service: string, status: number, durationMs: number): void;
    /**
     * Records the time to the first byte of a response.
     *
     * @param service - the service
     * @param latencyMs - time since the request was received, in milliseconds
     */
    observeFirstByte(service: string, latencyMs: number): void;
    /**
     * Counts a finished attempt.
     *
     * @param service - the service
     * @param result - how it ended
     */
    countAttempt(service: string, result: string): void;
    /** Counts a server that ended before the answer to a request was under way. */
    countCrashReport(): void;
    /** Counts a request that was refused because a part of its prompt is in quarantine. */
    countQuarantined(): void;
    /**
     * Counts an answer that ended with its connection.
     *
     * @param evidence - what decided whether it is complete
     */
    countUnverifiedEnd(evidence: string): void;
}

/** Discards all measurements. */
export const noCallMetrics: CallMetrics = {
    countCall: () => {},
    observeFirstByte: () => {},
    countAttempt: () => {},
    countCrashReport: () => {},
    countQuarantined: () => {},
    countUnverifiedEnd: () => {},
};
