/**
 * Headers of requests and answers: which pass, which are set here.
 *
 * @packageDocumentation
 */

import type { FlatHeaders, IncomingCall, ResponseHead } from "../types/call.ts";
import { type CallHeaderNames, MAX_QUEUE_PRIORITY } from "../types/callHeaders.ts";
import type { AccountSpec, RouteRule } from "../types/fleetPicture.ts";

/** Headers that concern only one connection. */
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

/** What one attempt tells the backend server. */
export interface AttemptHeaders {
    /** Route of the request. */
    readonly route: RouteRule;
    /** Whose request it is; undefined for public routes. */
    readonly account: AccountSpec | undefined;
    /** The only server that may run it. */
    readonly targetServer: string;
    /** Time left, in milliseconds. */
    readonly remainingMs: number;
    /** Last event that the caller has; undefined takes what the caller sent. */
    readonly lastEventId: number | undefined;
}

/** Headers named in the caller's `Connection` header concern only that connection. */
const perConnectionHeaders = (call: IncomingCall): ReadonlySet<string> => {
    const { connection } = call.headers;
    return new Set(connection?.split(",").map(option => option.trim().toLowerCase()));
};

/**
 * Makes the headers of an attempt.
 *
 * @param call - the caller's request
 * @param names - header names of the installation
 * @param attempt - what this attempt says
 * @returns names and values by turns
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
        names.timeLeftMs,
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
    headers.push(names.timeLeftMs, String(Math.max(1, Math.floor(attempt.remainingMs))));
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
 * Selects the headers of an answer that the caller gets.
 *
 * @param head - head of the backend server's answer
 * @returns the head without headers of the server's connection
 */
export const toCallerHead = (head: ResponseHead): ResponseHead => ({
    ...head,
    headers: Object.fromEntries(
        Object.entries(head.headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)),
    ),
});

/**
 * Reads a header of an answer.
 *
 * @param head - head of the answer
 * @param name - name in lower case
 * @returns its value, the first one if it was repeated
 */
export const responseHeader = (head: ResponseHead, name: string): string | undefined => {
    const value = head.headers[name];
    return typeof value === "string" || value === undefined ? value : value[0];
};
