/**
 * Validates the head of a response: whether it belongs to the request, and whether it may be forwarded.
 *
 * @packageDocumentation
 */

import { isFaultSeeded } from "@magnolialock/kernel";
import type { ResponseHead } from "../types/call.ts";
import type { CallHeaderNames } from "../types/callHeaders.ts";
import { responseHeader } from "./callHeaders.ts";

/** Result of the validation of a response head. */
export type ResponseHeadClass =
    /** The server's response to this request; it is valid once its body is complete. */
    | { readonly kind: "own"; }
    /** The server states that it has not run the request. */
    | {
        readonly kind: "notRun";
        /** Address of the server if it refuses because its group cannot run; else undefined. */
        readonly refusingServer: string | undefined;
        /** Whether another server than the target answered at the address. */
        readonly isMisdirected: boolean;
    }
    /** Not a response to this request, or one that must not be forwarded. */
    | { readonly kind: "foreign"; readonly message: string; };

const HTTP_MISDIRECTED = 421;

const hasOneIdentifier = ({ headers }: ResponseHead, { requestId }: CallHeaderNames): boolean => {
    const value = headers[requestId];
    return typeof value === "string" || new Set(value).size <= 1;
};

/**
 * Validates the head of a response.
 *
 * @param head - status and headers
 * @param requestId - identifier of the request; undefined if the caller sent none
 * @param names - header names of the installation
 */
export const classifyResponseHead = (
    head: ResponseHead,
    requestId: string | undefined,
    names: CallHeaderNames,
): ResponseHeadClass => {
    const responseId = responseHeader(head, names.requestId);
    const isMisdirected = head.status === HTTP_MISDIRECTED;
    // A different server now at the address rejects the request unread, without repeating its identifier. It can only
    // be met on a new connection; on another one an earlier refusal may have been sent again.
    const isAnonymousRejection = isMisdirected && responseId === undefined && !head.isOnReusedConnection;
    const isOwn = responseId === requestId && hasOneIdentifier(head, names) || isAnonymousRejection;
    if (!isOwn && !isFaultSeeded("direct.skip-answer-id")) {
        return {
            kind: "foreign",
            message: `the answer belongs to request ${responseId ?? "without an identifier"}`,
        };
    }
    if (isMisdirected || responseHeader(head, names.notRun) !== undefined) {
        return { kind: "notRun", refusingServer: responseHeader(head, names.refusingServer), isMisdirected };
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
