/**
 * Fencing tokens that rise over the lives and places of those who give orders.
 *
 * @packageDocumentation
 */

import { branded, type Clock } from "@magnolialock/kernel";
import type { FencingToken } from "../types/rankServer.ts";

/** Tokens in a millisecond, so that several orders of one millisecond differ. */
const TOKENS_PER_MS = 1_000;
/** Step over a token that a giver with a fast clock has left behind, in milliseconds. */
const TOKEN_JUMP_MS = 600_000;

/** Makes tokens from the time of day. */
export class FencingTokens {
    private last = 0;

    /** @param clock - source of the time of day */
    public constructor(private readonly clock: Clock) {}

    /** Makes a token that is higher than all before. */
    public next(): FencingToken {
        this.last = Math.max(this.last + 1, Math.floor(this.clock.wallMs()) * TOKENS_PER_MS);
        return branded<FencingToken>(this.last);
    }

    /** Goes beyond the token of another giver that was higher. */
    public jump(): void {
        this.last += TOKEN_JUMP_MS * TOKENS_PER_MS;
    }
}
