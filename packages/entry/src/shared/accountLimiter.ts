/**
 * Limits of client accounts: each entry admits its share of an account's rate.
 *
 * @packageDocumentation
 */

import type { ClientAccountId, Clock } from "@magnolialock/kernel";
import type { AccountRule } from "@magnolialock/rules";
import { LRUCache } from "lru-cache";

/** Tells how many entries share the limits now. */
export interface EntryCount {
    /** Entries that take requests, with this one; at least 1. */
    readonly liveEntries: number;
}

/** Options of an {@link AccountLimiter}. */
export interface AccountLimiterOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** How many entries share the limits. */
    readonly entryCount: EntryCount;
}

/** Whether a request is within its account's limit. */
export type LimitDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "limited"; readonly retryAfterMs: number; };

interface Bucket {
    tokens: number;
    countedMs: number;
}

const MAX_ACCOUNTS = 20_000;
const MS_PER_SECOND = 1_000;

/** A token bucket for each account, filled at this entry's share of the rate. */
export class AccountLimiter {
    private readonly clock: Clock;
    private readonly entryCount: EntryCount;
    private readonly buckets = new LRUCache<ClientAccountId, Bucket>({ max: MAX_ACCOUNTS });
    private readonly startedMs: number;

    /** @param options - clock and count of entries */
    public constructor(options: AccountLimiterOptions) {
        this.clock = options.clock;
        this.entryCount = options.entryCount;
        this.startedMs = this.clock.nowMs();
    }

    /**
     * Takes one call from an account's share.
     *
     * @param account - the account
     * @returns whether the call is within the limit, and else when to come back
     */
    public admit(account: AccountRule): LimitDecision {
        const entries = Math.max(1, this.entryCount.liveEntries);
        const ratePerMs = account.ratePerS / entries / MS_PER_SECOND;
        const burst = Math.max(1, account.burst / entries);
        const bucket = this.bucketOf(account, ratePerMs, burst);
        if (bucket.tokens < 1) {
            return { kind: "limited", retryAfterMs: Math.ceil((1 - bucket.tokens) / ratePerMs) };
        }
        bucket.tokens--;
        return { kind: "admitted" };
    }

    private bucketOf(account: AccountRule, ratePerMs: number, burst: number): Bucket {
        const nowMs = this.clock.nowMs();
        let bucket = this.buckets.get(account.name);
        if (!bucket) {
            // A replaced entry must not bring a fresh burst: the bucket holds what came since the start.
            bucket = { tokens: 1, countedMs: this.startedMs };
            this.buckets.set(account.name, bucket);
        }
        bucket.tokens = Math.min(burst, bucket.tokens + (nowMs - bucket.countedMs) * ratePerMs);
        bucket.countedMs = nowMs;
        return bucket;
    }
}
