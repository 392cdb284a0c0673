/**
 * What callers saw of their requests.
 *
 * @packageDocumentation
 */

import type { RanState } from "@magnolialock/entry";

/** Kinds of calls that the load mixes. */
export type CallKind = "draft" | "booking" | "status";

/** How a request ended for its caller. */
export type CallEnding =
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

/** One request as its caller saw it. */
export interface CallRecord {
    /** Identifier of the request. */
    readonly requestId: string;
    /** What was called. */
    readonly kind: CallKind;
    /** Who called. */
    readonly account: string;
    /** Data centre whose entry was called. */
    readonly dataCentre: string;
    /** Tokens of the whole answer; 0 for plain calls. */
    readonly tokens: number;
    /** When it was sent, in milliseconds. */
    readonly sentMs: number;
    /** When the caller gives up, in milliseconds. */
    readonly deadlineMs: number;
    /** When the first token or byte came, in milliseconds. */
    firstPieceMs: number | undefined;
    /** When the last token came, in milliseconds. */
    lastTokenMs: number | undefined;
    /** Times between tokens after the first ones, one for each piece, in milliseconds. */
    readonly tokenGapsMs: number[];
    /** When the end came, in milliseconds. */
    endedMs: number | undefined;
    /** How it ended. */
    ending: CallEnding;
}

/**
 * Tells whether a caller got its whole answer in time.
 *
 * @param record - the request
 * @returns true when it did
 */
export const isGood = (record: CallRecord): boolean =>
    record.ending.kind === "whole" && (record.endedMs ?? Infinity) <= record.deadlineMs;
