/**
 * Fencing tokens that keep rising across restarts of an agent and across the agents that send orders to one
 * rank.
 *
 * @packageDocumentation
 */

import { branded, type Clock } from "@magnolialock/kernel";
import type { FencingToken } from "../types/rankServer.ts";

/** Tokens for each millisecond, so that several orders within one millisecond get different tokens. */
const TOKENS_PER_MS = 1_000;
/** Distance to skip past a token that an issuer with a fast clock has left behind, in milliseconds. */
const SKIP_AHEAD_MS = 600_000;

/** Creates tokens from the wall-clock time. */
export class FencingTokenSource {
    private last = 0;

    /** @param clock - source of the wall-clock time */
    public constructor(private readonly clock: Clock) {}

    /** Creates a token that is higher than all tokens created before. */
    public next(): FencingToken {
        this.last = Math.max(this.last + 1, Math.floor(this.clock.wallMs()) * TOKENS_PER_MS);
        return branded<FencingToken>(this.last);
    }

    /** Skips past the higher token of another issuer, for use after an order was fenced. */
    public skipAhead(): void {
        this.last += SKIP_AHEAD_MS * TOKENS_PER_MS;
    }
}
