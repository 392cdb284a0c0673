/**
 * Log and count of the connections of callers that are closed because of what they hold.
 *
 * @packageDocumentation
 */

import type { CloseCause } from "@magnolialock/entry/src/shared/callers/callerAccount.ts";
import { callersClosed } from "../shared/callers/callerEvents.ts";
import type { DirectRuntime } from "../shared/directContext.ts";
import type { PromMetrics } from "./promMetrics.ts";

/** Time between two log lines of one cause, in milliseconds. */
const LOG_PERIOD_MS = 1_000;

/**
 * Returns a function that records a closed connection.
 *
 * @param runtime - clock and event log
 * @param metrics - metrics of the process
 */
export const closedCallersRecorder = (
    { clock, events }: DirectRuntime,
    metrics: PromMetrics,
): (cause: CloseCause) => void => {
    const counts = new Map<CloseCause, number>();
    const loggedMs = new Map<CloseCause, number>();
    return cause => {
        metrics.countClosedCaller(cause);
        const count = (counts.get(cause) ?? 0) + 1;
        counts.set(cause, count);
        if (clock.nowMs() - (loggedMs.get(cause) ?? Number.NEGATIVE_INFINITY) >= LOG_PERIOD_MS) {
            loggedMs.set(cause, clock.nowMs());
            counts.set(cause, 0);
            events.emit(callersClosed, { cause, count });
        }
    };
};
