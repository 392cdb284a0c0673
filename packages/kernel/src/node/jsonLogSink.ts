/**
 * Structured logs: one JSON line for each event on standard output. Writing never blocks; what a slow reader does not
 * take is dropped and counted.
 *
 * @packageDocumentation
 */

import pino from "pino";
import type { Clock } from "../shared/clock.ts";
import { defineEvent, type EventLevel, type EventRecord, type EventSink } from "../shared/events.ts";

/** Lines were left out. */
const linesOmitted = defineEvent({
    number: 100,
    name: "log.lines.left-out",
    level: "info",
    summary:
        "Log lines were left out: successes beyond the sampling rate, or lines that a slow reader did not take.",
});

/** Options of {@link createJsonLogSink}. */
export interface JsonLogSinkOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** File descriptor; standard output by default. */
    readonly fileDescriptor?: number;
    /** Lines of level `debug` a second; more are left out and counted. */
    readonly debugLinesPerS?: number;
}

/** Bytes that may wait for a slow reader; more would count against the memory of a small instance. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Lines are written together once this many bytes wait, in bytes: a system call a line costs more than the line. */
const MIN_WRITE_BYTES = 4_096;
/** Longest time that a line waits for others, in milliseconds. */
const FLUSH_INTERVAL_MS = 250;
/** Successes beyond this say nothing new, and all of them would cost more than the requests. */
const DEFAULT_DEBUG_LINES_PER_S = 20;
const SAMPLING_WINDOW_MS = 1_000;
const STDOUT_FD = 1;

const PINO_LEVELS: Readonly<Record<EventLevel, "debug" | "info" | "warn" | "error">> = {
    debug: "debug",
    info: "info",
    warning: "warn",
    error: "error",
};

/**
 * Creates the sink.
 *
 * @param options - clock, descriptor and volume
 * @returns the sink; `close` writes what waits
 */
export const createJsonLogSink = (options: JsonLogSinkOptions): EventSink & { close(): void; } => {
    const { clock } = options;
    const debugLinesPerS = options.debugLinesPerS ?? DEFAULT_DEBUG_LINES_PER_S;
    const destination = pino.destination({
        fd: options.fileDescriptor ?? STDOUT_FD,
        sync: false,
        minLength: MIN_WRITE_BYTES,
        maxLength: MAX_BUFFERED_BYTES,
        periodicFlush: FLUSH_INTERVAL_MS,
    });
    const logger = pino({ base: undefined, level: "debug" }, destination);
    let droppedLines = 0;
    let sampledOutLines = 0;
    let windowStartMs = clock.nowMs();
    let debugLines = 0;
    destination.on("drop", () => droppedLines++);
    // A reader that went away must not end the process.
    destination.on("error", () => droppedLines++);

    const shouldOmit = (level: EventLevel): boolean => {
        if (clock.nowMs() - windowStartMs >= SAMPLING_WINDOW_MS) {
            windowStartMs = clock.nowMs();
            debugLines = 0;
            if (sampledOutLines > 0 || droppedLines > 0) {
                const { name, number: event } = linesOmitted;
                logger.info({ event, name, sampledOutLines, droppedLines });
                sampledOutLines = 0;
                droppedLines = 0;
            }
        }
        if (level === "debug" && ++debugLines > debugLinesPerS) {
            sampledOutLines++;
            return true;
        }
        return false;
    };

    return {
        name: "json",
        write: (record: EventRecord) => {
            const { definition, fields, instance, time } = record;
            if (!shouldOmit(definition.level)) {
                logger[PINO_LEVELS[definition.level]]({
                    event: definition.number,
                    name: definition.name,
                    instance,
                    counter: time.counter,
                    ...fields,
                });
            }
        },
        close: () => {
            try {
                destination.flushSync();
            }
            catch {
                // The reader is gone or full; nobody is left to tell.
                droppedLines++;
            }
        },
    };
};
