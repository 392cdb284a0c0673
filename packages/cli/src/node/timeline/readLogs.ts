/**
 * Reads events from the structured logs of processes.
 *
 * @packageDocumentation
 */

import { errorMessage, type Finding, type TimelineEntry } from "@magnolialock/kernel";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { z } from "zod";

/** Path that stands for standard input. */
export const STANDARD_INPUT = "-";

const lineSchema = z.object({
    time: z.number(),
    event: z.int(),
    name: z.string(),
    instance: z.string(),
    counter: z.int().default(0),
}).loose();

/** Fields that every log line has; the others are fields of the event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(["level", "time", "event", "name", "instance", "counter"]);

/**
 * Parses one log line. A prefix that a log collector puts before the JSON is skipped.
 *
 * @param line - log line
 * @returns the event; undefined when the line contains none
 */
export const parseLogLine = (line: string): TimelineEntry | undefined => {
    const start = line.indexOf('{"level"');
    if (start < 0) {
        return undefined;
    }
    let json: unknown;
    try {
        json = JSON.parse(line.slice(start));
    }
    catch {
        // The last line of a file may be truncated.
        return undefined;
    }
    const result = lineSchema.safeParse(json);
    if (!result.success) {
        return undefined;
    }
    const { counter, event, instance, name, time, ...rest } = result.data;
    const fields = Object.entries(rest).filter(([field]) => !COMMON_FIELDS.has(field));
    return {
        time: { wallMs: time, counter },
        instance,
        number: event,
        name,
        fields: Object.fromEntries(fields.map(([field, value]) => [field, fieldText(value)])),
    };
};

const fieldText = (value: unknown): string => {
    try {
        return String(value);
    }
    catch {
        // Converting a deeply nested value overflows the stack; no process of the system logs one.
        return "(unreadable)";
    }
};

const readStream = async (stream: Readable, onEntry: (entry: TimelineEntry) => void): Promise<void> => {
    for await (const line of createInterface({ input: stream, crlfDelay: Number.POSITIVE_INFINITY })) {
        const entry = parseLogLine(line);
        if (entry) {
            onEntry(entry);
        }
    }
};

/**
 * Reads the events of log files.
 *
 * @param paths - file paths; `-` means standard input
 * @param onEntry - receives each event, in the order of the files
 * @returns a finding for each file that cannot be read
 */
export const readLogs = async (
    paths: readonly string[],
    onEntry: (entry: TimelineEntry) => void,
): Promise<Finding[]> => {
    const findings: Finding[] = [];
    for (const path of paths) {
        try {
            await readStream(
                path === STANDARD_INPUT ? process.stdin : createReadStream(path, "utf8"),
                onEntry,
            );
        }
        catch (error) {
            findings.push({ source: path, message: `cannot be read: ${errorMessage(error)}` });
        }
    }
    return findings;
};
