/**
 * Reads what a backend server says about itself in the headers of a response: that it leaves, or that it wants
 * no requests for a while.
 *
 * @packageDocumentation
 */

import type { ResponseHead } from "../types/call.ts";
import { responseHeader } from "./callHeaders.ts";

/** What a response says about the leaving of its server. */
export type LeavingNotice =
    | { readonly kind: "none"; }
    | { readonly kind: "leaving"; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** What a response says about the time for which its server wants no requests. */
export type RestNotice =
    | { readonly kind: "none"; }
    | { readonly kind: "rest"; readonly forMs: number; }
    | { readonly kind: "unreadable"; readonly text: string; };

/** Header with the time after which a request may be sent again (RFC 9110, section 10.2.3). */
export const RETRY_AFTER_HEADER = "retry-after";

/** The only value that says that a server leaves. */
const LEAVING_VALUE = "1";
const HTTP_UNAVAILABLE = 503;
const DECIMAL_NUMBER = /^\d+(?:\.\d+)?$/;
/** Beginning of a date in the formats of HTTP: a name of a day; `Date.parse` takes far more for a date. */
const HTTP_DATE = /^(?:Mon|Tue|Wed|Thu|Fri|Sat|Sun)/;
/**
 * Longest time for which a server gets no requests because it says so, in milliseconds. A server that is in need for
 * longer is replaced; without a bound, one wrong number would take a sound server out of service for good.
 */
const MAX_REST_MS = 3_600_000;
const MS_PER_SECOND = 1_000;
/** Longest text that is kept for the log. */
const MAX_TEXT_LENGTH = 40;

/** Values of a header; the values of a repeated header and of a list count alike. */
const headerValues = (head: ResponseHead, name: string): readonly string[] => {
    const value = head.headers[name];
    if (value === undefined) {
        return [];
    }
    const text = typeof value === "string" ? value : value.join(",");
    return text.split(",").map(item => item.trim());
};

/**
 * Reads whether a server leaves. Of several values one that says so suffices.
 *
 * @param head - head of the response
 * @param name - name of the header in lower case
 */
export const readLeaving = (head: ResponseHead, name: string): LeavingNotice => {
    const values = headerValues(head, name);
    if (values.length === 0) {
        return { kind: "none" };
    }
    return values.includes(LEAVING_VALUE)
        ? { kind: "leaving" }
        : { kind: "unreadable", text: values.join(",").slice(0, MAX_TEXT_LENGTH) };
};

/**
 * Reads for how long a server that has turned a request away wants no further ones. Of several values the longest
 * counts. A date is compared with that of the response itself, as the clocks of server and instance may differ.
 *
 * @param head - head of the response
 */
export const readRest = (head: ResponseHead): RestNotice => {
    const value = head.headers[RETRY_AFTER_HEADER];
    if (head.status !== HTTP_UNAVAILABLE || value === undefined) {
        return { kind: "none" };
    }
    const texts = typeof value === "string" ? [value] : value;
    const durations = texts.map(text => readDurationMs(text.trim(), responseHeader(head, "date")));
    const readable = durations.filter(durationMs => durationMs !== undefined);
    return readable.length === durations.length && readable.length > 0
        ? { kind: "rest", forMs: Math.min(MAX_REST_MS, Math.max(...readable)) }
        : { kind: "unreadable", text: texts.join(",").slice(0, MAX_TEXT_LENGTH) };
};

/** Returns undefined for a text that is neither a number of seconds nor a date that can be placed. */
const readDurationMs = (text: string, answeredAt: string | undefined): number | undefined => {
    if (DECIMAL_NUMBER.test(text)) {
        return Number(text) * MS_PER_SECOND;
    }
    const durationMs = HTTP_DATE.test(text) ? Date.parse(text) - Date.parse(answeredAt ?? "") : Number.NaN;
    return durationMs >= 0 ? durationMs : undefined;
};
