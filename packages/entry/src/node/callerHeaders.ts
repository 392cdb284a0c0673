/**
 * Headers between callers and entries.
 *
 * @packageDocumentation
 */

import type { Finding, RequestId } from "@magnolialock/kernel";
import { branded } from "@magnolialock/kernel";
import { PRIORITY_CLASSES, type PriorityClass } from "@magnolialock/rules";

/** Names of the headers. */
export const CallerHeader = {
    /** API key, as `Bearer KEY`. */
    Authorization: "authorization",
    /** Key of the caller's own for a request that may not be repeated. */
    IdempotencyKey: "idempotency-key",
    /** Less urgent class than the rules give. */
    Priority: "x-priority",
    /** On failures: whether the request ran. */
    Ran: "x-ran",
    /** Identifier of the request; made up when missing. */
    RequestId: "x-request-id",
    /** Ticket of an earlier try of the same request. */
    Ticket: "x-ticket",
    /** Time that the caller waits, in milliseconds. */
    TimeoutMs: "x-timeout-ms",
} as const;

/** What a caller's headers say. */
export interface CallerHeaders {
    /** Identifier of the request, if the caller gave one. */
    readonly requestId: RequestId | undefined;
    /** Time that the caller waits, in milliseconds. */
    readonly timeoutMs: number | undefined;
    /** Class that the caller asks for. */
    readonly priority: PriorityClass | undefined;
    /** Ticket of an earlier try. */
    readonly ticket: string | undefined;
    /** The caller's own key. */
    readonly idempotencyKey: string | undefined;
}

/** Longest time that a caller may ask for, in milliseconds. */
const MAX_TIMEOUT_MS = 3_600_000;
const TOKEN_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Reads one header; reports a finding when it does not fit. */
type HeaderReader<T> = (text: string) => T | string;

const readToken = (text: string): { readonly value: string; } | string =>
    TOKEN_PATTERN.test(text) ? { value: text } : "use 1 to 200 visible ASCII characters";

const readTimeout: HeaderReader<{ readonly value: number; }> = text => {
    const timeoutMs = Number(text);
    return /^\d+$/.test(text) && timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS
        ? { value: timeoutMs }
        : `use a whole number of milliseconds from 1 to ${MAX_TIMEOUT_MS}`;
};

const readPriority: HeaderReader<{ readonly value: PriorityClass; }> = text => {
    const priority = PRIORITY_CLASSES.find(candidate => candidate === text);
    return priority === undefined ? `use ${PRIORITY_CLASSES.join(", ")}` : { value: priority };
};

/**
 * Reads the headers of a caller's request.
 *
 * @param header - gives the text of a header
 * @returns the values, and all findings
 */
export const readCallerHeaders = (
    header: (name: string) => string | undefined,
): { readonly headers: CallerHeaders; readonly findings: readonly Finding[]; } => {
    const findings: Finding[] = [];
    const read = <T>(name: string, reader: HeaderReader<{ readonly value: T; }>): T | undefined => {
        const text = header(name);
        if (text === undefined) {
            return undefined;
        }
        const result = reader(text);
        if (typeof result === "string") {
            findings.push({ source: name, message: result });
            return undefined;
        }
        return result.value;
    };
    const requestId = read(CallerHeader.RequestId, readToken);
    const headers: CallerHeaders = {
        requestId: requestId === undefined ? undefined : branded<RequestId>(requestId),
        timeoutMs: read(CallerHeader.TimeoutMs, readTimeout),
        priority: read(CallerHeader.Priority, readPriority),
        ticket: read(CallerHeader.Ticket, readToken),
        idempotencyKey: read(CallerHeader.IdempotencyKey, readToken),
    };
    return { headers, findings };
};

const NOT_FORWARDED: ReadonlySet<string> = new Set([
    CallerHeader.Authorization,
    CallerHeader.Priority,
    CallerHeader.RequestId,
    CallerHeader.Ticket,
    CallerHeader.TimeoutMs,
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Selects the headers that backend servers get.
 *
 * @param headers - all headers of the request
 * @returns headers without those of the connection and of the load balancer; the API key stays here
 */
export const forwardedHeaders = (headers: Readonly<Record<string, string>>): (readonly [string, string])[] =>
    Object.entries(headers).filter(([name]) => !NOT_FORWARDED.has(name));
