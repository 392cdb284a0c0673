/**
 * Log and count of the connections of callers that are closed because of what they hold.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { CloseCause } from "../../shared/callers/callerAccount.ts";

/** Options of {@link closedCallersRecorder}. */
export interface ClosedCallersOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Counts a connection in the metrics. */
    readonly count: (cause: CloseCause) => void;
    /** Logs the number of connections since the line before of the same cause. */
    readonly log: (closed: { readonly cause: CloseCause; readonly count: number; }) => void;
}

/** Time between two log lines of one cause, in milliseconds. */
const LOG_PERIOD_MS = 1_000;

/**
 * Returns a function that records a closed connection.
 *
 * @param options - metrics and log of the process
 */
export const closedCallersRecorder = (
    { clock, count: countClosed, log }: ClosedCallersOptions,
): (cause: CloseCause) => void => {
    const counts = new Map<CloseCause, number>();
    const loggedMs = new Map<CloseCause, number>();
    return cause => {
        countClosed(cause);
        const count = (counts.get(cause) ?? 0) + 1;
        counts.set(cause, count);
        if (clock.nowMs() - (loggedMs.get(cause) ?? Number.NEGATIVE_INFINITY) >= LOG_PERIOD_MS) {
            loggedMs.set(cause, clock.nowMs());
            counts.set(cause, 0);
            log({ cause, count });
        }
    };
};
