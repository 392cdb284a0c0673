/**
 * The load balancer's own answers.
 *
 * @packageDocumentation
 */

import type { CallerReply } from "../types/call.ts";

/** An answer of the load balancer's own. */
export interface LocalReply {
    /** HTTP status. */
    readonly status: number;
    /** What happened. */
    readonly reason: string;
    /** When the caller should come back, in milliseconds; undefined gives no advice. */
    readonly retryAfterMs?: number | undefined;
}

const MS_PER_SECOND = 1_000;
/** Digits of `Retry-After` after the point: milliseconds. */
const RETRY_AFTER_DIGITS = 3;

/**
 * Sends an answer of the load balancer's own.
 *
 * @param reply - the way back
 * @param localReply - status, reason and advice
 */
export const sendLocalReply = (reply: CallerReply, localReply: LocalReply): void => {
    const { reason, retryAfterMs, status } = localReply;
    const headers: Record<string, string> = { "content-type": "application/json" };
    if (retryAfterMs !== undefined) {
        headers["retry-after"] = (Math.max(0, retryAfterMs) / MS_PER_SECOND).toFixed(RETRY_AFTER_DIGITS);
    }
    reply.sendWhole({ status, headers }, Buffer.from(JSON.stringify({ error: reason })));
};
