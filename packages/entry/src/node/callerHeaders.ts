/**
 * HTTP headers between callers and entries.
 *
 * @packageDocumentation
 */

import type { Finding, RequestId } from "@magnolialock/kernel";
import { branded } from "@magnolialock/kernel";
import { PRIORITY_CLASSES, type PriorityClass } from "@magnolialock/rules";

/** Header names. */
export const CallerHeader = {
    /** API key of the client account, as `Bearer KEY`. */
    Authorization: "authorization",
    /** Idempotency key that the caller assigned to a non-repeatable request. */
    IdempotencyKey: "idempotency-key",
    /** Requested priority class; takes effect only if lower than the one that the rules assign. */
    Priority: "x-priority",
    /** On failures: whether the request was executed. */
    Ran: "x-ran",
    /** Identifier of the request; generated when missing. */
    RequestId: "x-request-id",
    /** Ticket issued for an earlier attempt at the same request. */
    Ticket: "x-ticket",
    /** Caller's timeout, in milliseconds. */
    TimeoutMs: "x-timeout-ms",
} as const;

/** Parsed headers of a caller's request. */
export interface CallerHeaders {
    /** Identifier of the request, if the caller provided one. */
    readonly requestId: RequestId | undefined;
    /** Caller's timeout, in milliseconds. */
    readonly timeoutMs: number | undefined;
    /** Requested priority class. */
    readonly priority: PriorityClass | undefined;
    /** Ticket issued for an earlier attempt. */
    readonly ticket: string | undefined;
    /** Idempotency key. */
    readonly idempotencyKey: string | undefined;
}

/** Longest timeout that a caller may request, in milliseconds. */
const MAX_TIMEOUT_MS = 3_600_000;
const TOKEN_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Parses the value of one header; returns an error message when it is invalid. */
type HeaderParser<T> = (text: string) => T | string;

const parseToken = (text: string): { readonly value: string; } | string =>
    TOKEN_PATTERN.test(text) ? { value: text } : "use 1 to 200 visible ASCII characters";

const parseTimeout: HeaderParser<{ readonly value: number; }> = text => {
    const timeoutMs = Number(text);
    return /^\d+$/.test(text) && timeoutMs >= 1 && timeoutMs <= MAX_TIMEOUT_MS
        ? { value: timeoutMs }
        : `use a whole number of milliseconds from 1 to ${MAX_TIMEOUT_MS}`;
};

const parsePriority: HeaderParser<{ readonly value: PriorityClass; }> = text => {
    const priority = PRIORITY_CLASSES.find(candidate => candidate === text);
    return priority === undefined ? `use ${PRIORITY_CLASSES.join(", ")}` : { value: priority };
};

/**
 * Parses the headers of a caller's request.
 *
 * @param header - returns the value of a header
 * @returns the parsed headers, and a finding for each invalid one
 */
export const readCallerHeaders = (
    header: (name: string) => string | undefined,
): { readonly headers: CallerHeaders; readonly findings: readonly Finding[]; } => {
    const findings: Finding[] = [];
    const read = <T>(name: string, parser: HeaderParser<{ readonly value: T; }>): T | undefined => {
        const text = header(name);
        if (text === undefined) {
            return undefined;
        }
        const result = parser(text);
        if (typeof result === "string") {
            findings.push({ source: name, message: result });
            return undefined;
        }
        return result.value;
    };
    const requestId = read(CallerHeader.RequestId, parseToken);
    const headers: CallerHeaders = {
        requestId: requestId === undefined ? undefined : branded<RequestId>(requestId),
        timeoutMs: read(CallerHeader.TimeoutMs, parseTimeout),
        priority: read(CallerHeader.Priority, parsePriority),
        ticket: read(CallerHeader.Ticket, parseToken),
        idempotencyKey: read(CallerHeader.IdempotencyKey, parseToken),
    };
    return { headers, findings };
};

const HEADERS_NOT_FORWARDED: ReadonlySet<string> = new Set([
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
 * Selects the headers that are forwarded to backend servers.
 *
 * @param headers - all headers of the request
 * @returns the headers, except connection-specific ones, those of the load balancer and the API key
 */
export const forwardedHeaders = (headers: Readonly<Record<string, string>>): (readonly [string, string])[] =>
    Object.entries(headers).filter(([name]) => !HEADERS_NOT_FORWARDED.has(name));
