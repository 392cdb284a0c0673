/**
 * Rate limits of client accounts: each entry admits its share of an account's rate.
 *
 * @packageDocumentation
 */

import type { ClientAccountId, Clock } from "@magnolialock/kernel";
import type { AccountRule } from "@magnolialock/rules";
import { LRUCache } from "lru-cache";

/** Source of the number of entries that currently share the rate limits. */
export interface EntryCount {
    /** Number of entries that accept requests, including this one; at least 1. */
    readonly liveEntries: number;
}

/** Options of an {@link AccountLimiter}. */
export interface AccountLimiterOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of the number of entries that share the limits. */
    readonly entryCount: EntryCount;
}

/** Whether a request is within the rate limit of its account. */
export type LimitDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "limited"; readonly retryAfterMs: number; };

interface Bucket {
    tokens: number;
    lastRefillMs: number;
}

const MAX_ACCOUNTS = 20_000;
const MS_PER_SECOND = 1_000;

/** One token bucket per account, refilled at this entry's share of the account's rate. */
export class AccountLimiter {
    private readonly clock: Clock;
    private readonly entryCount: EntryCount;
    private readonly buckets = new LRUCache<ClientAccountId, Bucket>({ max: MAX_ACCOUNTS });
    private readonly startedMs: number;

    /** @param options - clock and number of entries */
    public constructor(options: AccountLimiterOptions) {
        this.clock = options.clock;
        this.entryCount = options.entryCount;
        this.startedMs = this.clock.nowMs();
    }

    /**
     * Takes a token from the bucket of an account.
     *
     * @param account - rule of the account
     * @returns whether the call is within the limit; otherwise the delay before a retry
     */
    public admit(account: AccountRule): LimitDecision {
        const entries = Math.max(1, this.entryCount.liveEntries);
        const ratePerMs = account.ratePerS / entries / MS_PER_SECOND;
        const burst = Math.max(1, account.burst / entries);
        const bucket = this.refillBucket(account, ratePerMs, burst);
        if (bucket.tokens < 1) {
            return { kind: "limited", retryAfterMs: Math.ceil((1 - bucket.tokens) / ratePerMs) };
        }
        bucket.tokens--;
        return { kind: "admitted" };
    }

    private refillBucket(account: AccountRule, ratePerMs: number, burst: number): Bucket {
        const nowMs = this.clock.nowMs();
        let bucket = this.buckets.get(account.name);
        if (!bucket) {
            // A replaced entry process must not grant a new burst: a new bucket holds one token and what has
            // accrued since the start of the process.
            bucket = { tokens: 1, lastRefillMs: this.startedMs };
            this.buckets.set(account.name, bucket);
        }
        bucket.tokens = Math.min(burst, bucket.tokens + (nowMs - bucket.lastRefillMs) * ratePerMs);
        bucket.lastRefillMs = nowMs;
        return bucket;
    }
}
