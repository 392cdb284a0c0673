/**
 * Checks that an answer belongs to its request and says what it says truthfully.
 *
 * @packageDocumentation
 */

import { isFaultSeeded } from "@magnolialock/kernel";
import type { ResponseHead } from "../types/call.ts";
import type { CallHeaderNames } from "../types/callHeaders.ts";
import { responseHeader } from "./callHeaders.ts";

/** What the head of an answer means. */
export type ResponseHeadClass =
    /** The server's own answer; it counts when its body is complete. */
    | { readonly kind: "own"; }
    /** The server has not run the request. */
    | { readonly kind: "notRun"; readonly fault: string | undefined; readonly isMisdirected: boolean; }
    /** Not an answer to this request, or not one that may be passed on. */
    | { readonly kind: "foreign"; readonly message: string; };

const HTTP_MISDIRECTED = 421;

/**
 * Judges the head of an answer.
 *
 * @param head - status and headers
 * @param requestId - identifier of the request; undefined when the caller gave none
 * @param names - header names of the installation
 */
export const classifyResponseHead = (
    head: ResponseHead,
    requestId: string | undefined,
    names: CallHeaderNames,
): ResponseHeadClass => {
    const responseId = responseHeader(head, names.requestId);
    const isMisdirected = head.status === HTTP_MISDIRECTED;
    // Another server at the address has not read the request and repeats no identifier.
    const isOwn = responseId === requestId || isMisdirected && responseId === undefined;
    if (!isOwn && !isFaultSeeded("direct.skip-answer-id")) {
        return {
            kind: "foreign",
            message: `the answer belongs to request ${responseId ?? "without an identifier"}`,
        };
    }
    if (isMisdirected || responseHeader(head, names.notRun) !== undefined) {
        return { kind: "notRun", fault: responseHeader(head, names.faultServer), isMisdirected };
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && responseHeader(head, names.signature) === undefined) {
        return { kind: "foreign", message: "the answer has no signature" };
    }
    if (responseHeader(head, "content-encoding") !== undefined) {
        return { kind: "foreign", message: "the body is encoded although no encoding was asked for" };
    }
    return { kind: "own" };
};
