/**
 * Reads the limit that a backend server names in the header of a response.
 *
 * @packageDocumentation
 */

import type { ResponseHead } from "../types/call.ts";

/** What a response says about the limit of its server. */
export type NamedLimit =
    | { readonly kind: "none"; }
    | { readonly kind: "limit"; readonly perS: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

const DECIMAL_NUMBER = /^\d+(?:\.\d+)?$/;
/** Largest limit, in requests per second, that is taken for one; no server takes as many. */
const MAX_LIMIT_PER_S = 1_000_000;
/** Longest text that is kept for the log. */
const MAX_TEXT_LENGTH = 40;

/**
 * Reads the limit. Of several values the smallest counts; a value that is no decimal number, or a huge one, makes
 * the header unreadable.
 *
 * @param head - head of the response
 * @param name - name of the header in lower case
 */
export const readServerLimit = (head: ResponseHead, name: string): NamedLimit => {
    const value = head.headers[name];
    if (value === undefined) {
        return { kind: "none" };
    }
    const text = typeof value === "string" ? value : value.join(",");
    const values = text.split(",").map(item => item.trim());
    const limits = values.map(Number);
    const isReadable = values.every(item => DECIMAL_NUMBER.test(item))
        && limits.every(limit => limit <= MAX_LIMIT_PER_S);
    return isReadable
        ? { kind: "limit", perS: Math.min(...limits) }
        : { kind: "unreadable", text: text.slice(0, MAX_TEXT_LENGTH) };
};
