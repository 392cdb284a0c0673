/**
 * Requests of callers and their answers, independent of HTTP.
 *
 * @packageDocumentation
 */

import type { ClientAccountId, RequestId, ServiceName } from "@magnolialock/kernel";
import type { PriorityClass } from "@magnolialock/rules";

/** A request of a caller. */
export interface CallerRequest {
    /** Identifier of the request. */
    readonly requestId: RequestId;
    /** Client account that sent the request and is charged for it. */
    readonly account: ClientAccountId;
    /** Service that the request is addressed to. */
    readonly service: ServiceName;
    /** HTTP method. */
    readonly method: string;
    /** Path relative to the service, including the query string. */
    readonly path: string;
    /** Headers to forward to the backend server. */
    readonly headers: readonly (readonly [name: string, value: string])[];
    /** Request body. */
    readonly body: Uint8Array;
    /** Caller's timeout, in milliseconds; undefined means the deadline of the service. */
    readonly timeoutMs?: number | undefined;
    /** Ticket issued for an earlier attempt at the same request. */
    readonly ticket?: string | undefined;
    /** Idempotency key that the caller assigned to a non-repeatable request. */
    readonly idempotencyKey?: string | undefined;
    /** Requested priority class; it can lower the priority that the rules assign but never raise it. */
    readonly priority?: PriorityClass | undefined;
}

/** Whether a failed request was executed. */
export type RanState = "not run" | "ran" | "outcome unknown";

/** Error codes of failed requests; callers rely on them, so they do not change. */
export type FailureCode =
    | "bad-request"
    | "too-large"
    | "unauthorized"
    | "unknown-service"
    | "rate-limited"
    | "overloaded"
    | "unavailable"
    | "deadline"
    | "wrong-ticket"
    | "canceled"
    | "broken"
    | "stopping";

/** Why a request failed. */
export interface Failure {
    /** Error code. */
    readonly code: FailureCode;
    /** Whether the request was executed. */
    readonly ran: RanState;
    /** What happened and what the caller can do. */
    readonly message: string;
    /** Delay before the caller should retry, in milliseconds. */
    readonly retryAfterMs?: number;
}

/** Head of an answer. */
export interface AnswerHead {
    /** Distinguishes the head from other events. */
    readonly kind: "head";
    /** HTTP status. */
    readonly status: number;
    /** Headers of the backend server. */
    readonly headers: readonly (readonly [name: string, value: string])[];
}

/** An event of the answer to a caller. The last event is `end` or `failed`. */
export type AnswerEvent =
    | { readonly kind: "ticket"; readonly ticket: string; }
    | AnswerHead
    | { readonly kind: "tokens"; readonly texts: readonly string[]; }
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: "end"; readonly finishReason: string; }
    | { readonly kind: "failed"; readonly failure: Failure; };
