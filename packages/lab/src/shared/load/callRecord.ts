/**
 * Requests as their callers observed them.
 *
 * @packageDocumentation
 */

import type { RanState } from "@magnolialock/entry";

/** Kinds of calls in the generated load. */
export type CallKind = "draft" | "booking" | "status";

/**
 * How a request ended for its caller: not yet, with the expected answer, with an answer that differs from the
 * expected one, or with a failure.
 */
export type CallOutcome =
    | { readonly kind: "pending"; }
    | { readonly kind: "whole"; }
    | { readonly kind: "wrong"; readonly reason: string; }
    | {
        readonly kind: "failed";
        readonly code: string;
        readonly ran: RanState;
        readonly retryAfterMs: number | undefined;
        readonly message: string;
    };

/** One request as its caller observed it. */
export interface CallRecord {
    /** Identifier of the request. */
    readonly requestId: string;
    /** Kind of the call. */
    readonly kind: CallKind;
    /** Client account of the caller. */
    readonly account: string;
    /** Data centre whose entry was called. */
    readonly dataCentre: string;
    /** Number of tokens in the complete answer; 0 for calls of the plain service. */
    readonly tokens: number;
    /** When the request was sent, in milliseconds. */
    readonly sentMs: number;
    /** Deadline of the caller, in milliseconds. */
    readonly deadlineMs: number;
    /** When the first token or the first byte of the body arrived, in milliseconds. */
    firstPieceMs: number | undefined;
    /** When the latest token arrived, in milliseconds. */
    lastTokenMs: number | undefined;
    /**
     * Time per token of each batch of tokens after the first one, in milliseconds: the time since the batch
     * before, divided by the number of tokens.
     */
    readonly tokenGapsMs: number[];
    /** When the answer ended or failed, in milliseconds. */
    endedMs: number | undefined;
    /** Outcome for the caller. */
    outcome: CallOutcome;
}

/**
 * Tells whether a caller received the complete and correct answer before its deadline.
 *
 * @param record - the request
 * @returns true if it did
 */
export const isAnsweredInTime = (record: CallRecord): boolean =>
    record.outcome.kind === "whole" && (record.endedMs ?? Infinity) <= record.deadlineMs;
