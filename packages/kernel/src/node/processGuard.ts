/**
 * Keeps a process running when an error escapes the request or task that raised it. The end of a process cuts off all
 * of its requests; the error itself has harmed one of them.
 *
 * @packageDocumentation
 */

import type { Clock } from "../shared/clock.ts";
import { defineEvent, type EventLog } from "../shared/events.ts";

/** An error escaped the request or task that raised it. */
export const processUnexpected = defineEvent({
    number: 101,
    name: "process.unexpected",
    level: "error",
    summary: "An error escaped the request or task that raised it; the process goes on without that.",
});

/** Stack traces in the log are cut to this number of characters. */
const MAX_STACK_LENGTH = 2_000;
/** Time between two log lines, in milliseconds; an error may come back with every message. */
const LOG_PERIOD_MS = 1_000;

/** Options of {@link guardProcess}. */
export interface ProcessGuardOptions {
    /** Event log of the process. */
    readonly events: EventLog;
    /** Source of time. */
    readonly clock: Clock;
}

/**
 * Logs uncaught exceptions and unhandled rejections instead of ending the process.
 *
 * @param options - event log and clock
 * @returns the guard; disposing it restores the default
 */
export const guardProcess = ({ clock, events }: ProcessGuardOptions): Disposable => {
    let unloggedCount = 0;
    let lastLogMs = Number.NEGATIVE_INFINITY;
    const report = (error: unknown): void => {
        if (clock.nowMs() - lastLogMs < LOG_PERIOD_MS) {
            unloggedCount++;
            return;
        }
        lastLogMs = clock.nowMs();
        const text = error instanceof Error ? error.stack ?? error.message : String(error);
        events.emit(processUnexpected, { error: text.slice(0, MAX_STACK_LENGTH), unloggedCount });
        unloggedCount = 0;
    };
    process.on("uncaughtException", report);
    process.on("unhandledRejection", report);
    return {
        [Symbol.dispose]: () => {
            process.off("uncaughtException", report);
            process.off("unhandledRejection", report);
        },
    };
};
