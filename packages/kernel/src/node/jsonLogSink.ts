/**
 * Structured logs: one JSON line per event, on standard output by default. Writing never blocks; lines that a
 * slow reader does not consume are dropped and counted.
 *
 * @packageDocumentation
 */

import pino from "pino";
import type { Clock } from "../shared/clock.ts";
import { defineEvent, type EventLevel, type EventRecord, type EventSink } from "../shared/events.ts";

/** Counts the log lines that sampling omitted or that a slow reader caused to be dropped. */
const linesOmitted = defineEvent({
    number: 100,
    name: "log.lines.left-out",
    level: "info",
    summary: "Log lines were omitted: successes above the sampling rate, or lines dropped for a slow reader.",
});

/** Options of {@link createJsonLogSink}. */
export interface JsonLogSinkOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** File descriptor; standard output by default. */
    readonly fileDescriptor?: number;
    /** Largest number of `debug` lines per second; further ones are omitted and counted. */
    readonly debugLinesPerS?: number;
}

/** Buffer size for a slow reader, in bytes. A larger buffer would strain the memory of a small instance. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/**
 * Lines are buffered up to this size and written together, in bytes: one system call per line costs more than
 * the line.
 */
const MIN_WRITE_BYTES = 4_096;
/** Longest time that a line stays in the buffer before it is written, in milliseconds. */
const FLUSH_INTERVAL_MS = 250;
/**
 * `debug` lines report successes. Beyond this rate they add no information, and logging all of them would
 * cost more than the requests.
 */
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
 * @param options - clock, file descriptor and sampling rate
 * @returns the sink; `close` writes the buffered lines
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
    // Without this listener, a write error after the reader has gone away would end the process.
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
                // The reader has gone away or does not consume: the error cannot be reported anywhere.
                droppedLines++;
            }
        },
    };
};
