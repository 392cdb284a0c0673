/**
 * Selects the request and response headers that are forwarded, and sets those of the load balancer.
 *
 * @packageDocumentation
 */

import type { FlatHeaders, IncomingCall, ResponseHead } from "../types/call.ts";
import { type CallHeaderNames, MAX_QUEUE_PRIORITY } from "../types/callHeaders.ts";
import type { AccountSpec, RouteRule } from "../types/publishedState.ts";

/** Hop-by-hop headers; they are never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Inputs of the headers of one attempt. */
export interface AttemptHeaders {
    /** Route of the request. */
    readonly route: RouteRule;
    /** Account of the caller; undefined if the request has none. */
    readonly account: AccountSpec | undefined;
    /** Identifier of the only server that may run the request. */
    readonly targetServer: string;
    /** Remaining time of the caller, in milliseconds. */
    readonly remainingMs: number;
    /** Last event that the caller has; undefined forwards the caller's own header. */
    readonly lastEventId: number | undefined;
}

/** Names of the headers that the caller's `Connection` header declares as hop-by-hop. */
const perConnectionHeaders = (call: IncomingCall): ReadonlySet<string> => {
    const { connection } = call.headers;
    return new Set(connection?.split(",").map(option => option.trim().toLowerCase()));
};

/**
 * Builds the request headers of an attempt.
 *
 * @param call - the caller's request
 * @param names - header names of the installation
 * @param attempt - values specific to this attempt
 * @returns names and values, alternating
 */
export const buildAttemptHeaders = (
    call: IncomingCall,
    names: CallHeaderNames,
    attempt: AttemptHeaders,
): FlatHeaders => {
    const replaced = new Set([
        names.apiKey,
        names.account,
        names.targetServer,
        names.remainingMs,
        names.queuePriority,
    ]);
    if (attempt.lastEventId !== undefined) {
        replaced.add(names.lastEventId);
    }
    const perConnection = perConnectionHeaders(call);
    const headers: string[] = [];
    for (let index = 0; index + 1 < call.rawHeaders.length; index += 2) {
        const name = call.rawHeaders[index] as string;
        const lowerCaseName = name.toLowerCase();
        if (
            !HOP_BY_HOP_HEADERS.has(lowerCaseName) && !replaced.has(lowerCaseName)
            && (lowerCaseName === "host" || !perConnection.has(lowerCaseName))
        ) {
            headers.push(name, call.rawHeaders[index + 1] as string);
        }
    }
    headers.push(names.targetServer, attempt.targetServer);
    headers.push(names.remainingMs, String(Math.max(1, Math.floor(attempt.remainingMs))));
    if (attempt.account) {
        headers.push(names.account, attempt.account.account);
    }
    if (attempt.lastEventId !== undefined) {
        headers.push(names.lastEventId, String(attempt.lastEventId));
    }
    const priority = attempt.account?.priority ?? attempt.route.priority;
    headers.push(names.queuePriority, String(Math.min(MAX_QUEUE_PRIORITY, priority)));
    return headers;
};

/**
 * Selects the response headers that are forwarded to the caller.
 *
 * @param head - head of the backend server's response
 * @returns the head without hop-by-hop headers
 */
export const toCallerHead = (head: ResponseHead): ResponseHead => ({
    ...head,
    headers: Object.fromEntries(
        Object.entries(head.headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)),
    ),
});

/**
 * Reads a response header.
 *
 * @param head - head of the response
 * @param name - name in lower case
 * @returns its value, or the first value of a repeated header; undefined if it is missing
 */
export const responseHeader = (head: ResponseHead, name: string): string | undefined => {
    const value = head.headers[name];
    return typeof value === "string" || value === undefined ? value : value[0];
};
