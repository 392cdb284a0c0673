/**
 * Event sink that writes through the `debug` library, one line per event.
 *
 * @packageDocumentation
 */

import createDebug from "debug";
import type { EventRecord, EventSink } from "../shared/events.ts";

/**
 * Formats an event as one structured line.
 *
 * @param record - the event
 * @returns `E1001 name instance key=value …`
 */
export const formatEvent = (record: EventRecord): string => {
    const fields = Object.entries(record.fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${typeof value === "string" ? JSON.stringify(value) : value}`);
    return [`E${record.definition.number}`, record.definition.name, record.instance, ...fields].join(" ");
};

/**
 * Creates the sink. Each level has its own namespace: `magnolialock:debug`, `…:info`, `…:warning` and
 * `…:error`.
 *
 * @param options - namespaces to enable, by default all but `debug`; the variable `DEBUG` overrides them
 * @returns the sink
 */
export const createDebugSink = (options: { readonly namespaces?: string; } = {}): EventSink => {
    createDebug.enable(
        process.env["DEBUG"] ?? options.namespaces
            ?? "magnolialock:info,magnolialock:warning,magnolialock:error",
    );
    const loggers = new Map<string, createDebug.Debugger>();
    return {
        name: "debug",
        write: record => {
            const { level } = record.definition;
            const logger = loggers.get(level) ?? createDebug(`magnolialock:${level}`);
            loggers.set(level, logger);
            if (logger.enabled) {
                logger("%s", formatEvent(record));
            }
        },
    };
};
