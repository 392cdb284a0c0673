/**
 * HTTP responses of failures: one JSON format with a stable error code and whether the request ran.
 *
 * @packageDocumentation
 */

import { match } from "ts-pattern";
import type { Failure, FailureCode } from "../types/caller.ts";
import { CallerHeader } from "./callerHeaders.ts";

const MS_PER_SECOND = 1_000;

/**
 * Maps an error code to its HTTP status.
 *
 * @param code - error code
 * @returns the HTTP status
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
 * Formats the body of a failure.
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
 * Builds the response of a request that failed before its answer started.
 *
 * @param requestId - identifier of the request
 * @param failure - what happened
 * @param ticket - ticket of a non-repeatable request
 * @returns the response
 */
export const failureResponse = (requestId: string, failure: Failure, ticket?: string): Response => {
    const headers = new Headers({
        "content-type": "application/json",
        [CallerHeader.RequestId]: requestId,
        [CallerHeader.Ran]: failure.ran,
    });
    if (failure.retryAfterMs !== undefined) {
        headers.set("retry-after", String(Math.ceil(failure.retryAfterMs / MS_PER_SECOND)));
    }
    if (ticket !== undefined) {
        headers.set(CallerHeader.Ticket, ticket);
    }
    return new Response(failureBody(requestId, failure), { status: statusOf(failure.code), headers });
};
