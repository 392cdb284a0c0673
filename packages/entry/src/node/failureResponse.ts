/**
 * Failures as callers get them: one JSON shape with a stable code that says whether the request ran.
 *
 * @packageDocumentation
 */

import { match } from "ts-pattern";
import type { Failure, FailureCode } from "../types/caller.ts";
import { CallerHeader } from "./callerHeaders.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Gives the HTTP status of a failure.
 *
 * @param code - stable code
 * @returns the status
 */
export const statusOf = (code: FailureCode): number =>
    match(code)
        .with("bad-request", "wrong-ticket", () => 400)
        .with("unauthorized", () => 401)
        .with("unknown-service", () => 404)
        .with("too-large", () => 413)
        .with("rate-limited", () => 429)
        .with("canceled", () => 499)
        .with("broken", () => 502)
        .with("overloaded", "unavailable", "stopping", () => 503)
        .with("deadline", () => 504)
        .exhaustive();

/**
 * Writes the body of a failure.
 *
 * @param requestId - identifier of the request
 * @param failure - what happened
 * @returns JSON text
 */
export const failureBody = (requestId: string, failure: Failure): string =>
    JSON.stringify({
        error: {
            code: failure.code,
            ran: failure.ran,
            message: failure.message,
            request_id: requestId,
            ...(failure.retryAfterMs === undefined ? {} : { retry_after_ms: failure.retryAfterMs }),
        },
    });

/**
 * Makes the response of a request that failed before its answer began.
 *
 * @param requestId - identifier of the request
 * @param failure - what happened
 * @param ticket - ticket of a request that may not be repeated
 * @returns the response
 */
export const failureResponse = (requestId: string, failure: Failure, ticket?: string): Response => {
    const headers = new Headers({
        "content-type": "application/json",
        [CallerHeader.RequestId]: requestId,
        [CallerHeader.Ran]: failure.ran,
    });
    if (failure.retryAfterMs !== undefined) {
        headers.set("retry-after", String(Math.ceil(failure.retryAfterMs / MILLISECONDS_PER_SECOND)));
    }
    if (ticket !== undefined) {
        headers.set(CallerHeader.Ticket, ticket);
    }
    return new Response(failureBody(requestId, failure), { status: statusOf(failure.code), headers });
};
