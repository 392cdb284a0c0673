/**
 * Callers' requests and answers, apart from HTTP.
 *
 * @packageDocumentation
 */

import type { ClientAccountId, RequestId, ServiceName } from "@magnolialock/kernel";
import type { PriorityClass } from "@magnolialock/rules";

/** One request of a caller. */
export interface CallerRequest {
    /** Its identifier. */
    readonly requestId: RequestId;
    /** Who pays for it. */
    readonly account: ClientAccountId;
    /** Service that it is for. */
    readonly service: ServiceName;
    /** HTTP method. */
    readonly method: string;
    /** Path below the service, with the query. */
    readonly path: string;
    /** Headers to pass on. */
    readonly headers: readonly (readonly [name: string, value: string])[];
    /** Body. */
    readonly body: Uint8Array;
    /** Time that the caller waits, in milliseconds; undefined takes the service's deadline. */
    readonly timeoutMs?: number | undefined;
    /** Ticket from an earlier try of the same request. */
    readonly ticket?: string | undefined;
    /** The caller's own key for a request that may not be repeated. */
    readonly idempotencyKey?: string | undefined;
    /** Class that the caller asks for; it never makes a call more urgent than the rules do. */
    readonly priority?: PriorityClass | undefined;
}

/** Whether a failed request ran. */
export type RanState = "not run" | "ran" | "outcome unknown";

/** Stable codes of failures. */
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
    /** Stable code. */
    readonly code: FailureCode;
    /** Whether it ran. */
    readonly ran: RanState;
    /** What happened and what to do. */
    readonly message: string;
    /** When to come back, in milliseconds. */
    readonly retryAfterMs?: number;
}

/** A piece of the answer to a caller. The last one is `end` or `failed`. */
export type AnswerEvent =
    | { readonly kind: "ticket"; readonly ticket: string; }
    | {
        readonly kind: "head";
        readonly status: number;
        readonly headers: readonly (readonly [string, string])[];
    }
    | { readonly kind: "tokens"; readonly texts: readonly string[]; }
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: "end"; readonly finishReason: string; }
    | { readonly kind: "failed"; readonly failure: Failure; };
