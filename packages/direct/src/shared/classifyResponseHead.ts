/**
 * Validates the head of a response: whether it belongs to the request, and whether it may be forwarded.
 *
 * @packageDocumentation
 */

import { isFaultSeeded } from "@magnolialock/kernel";
import type { IncomingCall, ResponseHead } from "../types/call.ts";
import type { CallHeaderNames } from "../types/callHeaders.ts";
import { responseHeader } from "./callHeaders.ts";

/** Why a server has rejected a request as misdirected. */
export type Rejection =
    /** Another server than the target answered at the address. */
    | "otherServer"
    /** The weights of the target have another version than the caller expects. */
    | "otherVersion";

/** What is logged about a rejection. */
export const REJECTION_REASONS = {
    otherServer: "another server has the address",
    otherVersion: "the weights of the backend server have another version",
} as const satisfies Record<Rejection, string>;

/** Result of the validation of a response head. */
export type ResponseHeadClass =
    /** The server's response to this request; it is valid once its body is complete. */
    | { readonly kind: "own"; }
    /** The server states that it has not run the request. */
    | {
        readonly kind: "notRun";
        /** Address of the server if it refuses because its group cannot run; else undefined. */
        readonly refusingServer: string | undefined;
        /** Why it was rejected as misdirected; undefined if it was not. */
        readonly rejection: Rejection | undefined;
    }
    /** Not a response to this request, or one that must not be forwarded. */
    | { readonly kind: "foreign"; readonly message: string; };

const HTTP_MISDIRECTED = 421;

const hasOneIdentifier = ({ headers }: ResponseHead, { requestId }: CallHeaderNames): boolean => {
    const value = headers[requestId];
    return typeof value === "string" || new Set(value).size <= 1;
};

/** The request that a response is expected to answer. */
export interface ExpectedResponse {
    /** Headers of the caller's request, by lower-case name. */
    readonly requestHeaders: IncomingCall["headers"];
    /** Identifier of the backend server that it was sent to. */
    readonly server: string;
}

const rejectionOf = (
    head: ResponseHead,
    { requestHeaders, server }: ExpectedResponse,
    names: CallHeaderNames,
): Rejection => {
    const serverId = responseHeader(head, names.serverId);
    const isTarget = serverId === undefined || serverId === server;
    return isTarget && requestHeaders[names.expectedVersion] !== undefined ? "otherVersion" : "otherServer";
};

/**
 * Validates the head of a response.
 *
 * @param head - status and headers
 * @param expected - the request, and the server that it was sent to
 * @param names - header names of the installation
 */
export const classifyResponseHead = (
    head: ResponseHead,
    expected: ExpectedResponse,
    names: CallHeaderNames,
): ResponseHeadClass => {
    const requestId = expected.requestHeaders[names.requestId];
    const responseId = responseHeader(head, names.requestId);
    const isRejected = head.status === HTTP_MISDIRECTED;
    // A different server now at the address rejects the request unread, without repeating its identifier. It can only
    // be met on a new connection; on another one an earlier refusal may have been sent again.
    const isAnonymousRejection = isRejected && responseId === undefined && !head.isOnReusedConnection;
    const isOwn = responseId === requestId && hasOneIdentifier(head, names) || isAnonymousRejection;
    if (!isOwn && !isFaultSeeded("direct.skip-answer-id")) {
        return {
            kind: "foreign",
            message: `the answer belongs to request ${responseId ?? "without an identifier"}`,
        };
    }
    if (isRejected) {
        return { kind: "notRun", refusingServer: undefined, rejection: rejectionOf(head, expected, names) };
    }
    if (responseHeader(head, names.notRun) !== undefined) {
        return {
            kind: "notRun",
            refusingServer: responseHeader(head, names.refusingServer),
            rejection: undefined,
        };
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && responseHeader(head, names.signature) === undefined) {
        return { kind: "foreign", message: "the answer has no signature" };
    }
    if (responseHeader(head, "content-encoding") !== undefined) {
        return { kind: "foreign", message: "the body is encoded although no encoding was asked for" };
    }
    const transferCoding = head.headers["transfer-encoding"];
    if (transferCoding !== undefined && String(transferCoding).toLowerCase() !== "chunked") {
        // The body would end with the connection, without showing it, and is not what the server meant to send.
        return { kind: "foreign", message: `the transfer coding "${String(transferCoding)}" is unknown` };
    }
    return { kind: "own" };
};
