/**
 * Retry budget: limits retries to a share of the successes, so that retries do not amplify an overload.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Retries earned by each successful request. */
    readonly retriesPerSuccess?: number;
    /** Retries per second that are earned regardless of traffic, for an entry with few requests. */
    readonly retriesPerS?: number;
    /** Largest number of retries that can be saved up, and largest debt. */
    readonly capacity?: number;
}

const DEFAULT_RETRIES_PER_SUCCESS = 0.1;
const DEFAULT_RETRIES_PER_S = 0.5;
const DEFAULT_CAPACITY = 10;
const MS_PER_SECOND = 1_000;
/** The balance is counted in whole thousandths of a retry, so that sums of tenths stay exact. */
const UNITS_PER_RETRY = 1_000;

/** Token bucket of the retries that may still be made. */
export class RetryBudget {
    private readonly clock: Clock;
    private readonly retriesPerSuccess: number;
    private retriesPerS: number;
    private capacity: number;
    private balanceUnits: number;
    private lastRefillMs: number;

    /** @param options - clock, rates and capacity */
    public constructor(options: RetryBudgetOptions) {
        this.clock = options.clock;
        this.retriesPerSuccess = options.retriesPerSuccess ?? DEFAULT_RETRIES_PER_SUCCESS;
        this.retriesPerS = options.retriesPerS ?? DEFAULT_RETRIES_PER_S;
        this.capacity = options.capacity ?? DEFAULT_CAPACITY;
        this.balanceUnits = this.capacity * UNITS_PER_RETRY;
        this.lastRefillMs = this.clock.nowMs();
    }

    /**
     * Changes the part of the budget that does not depend on successes, when the number of instances changes.
     *
     * @param share - retries per second that are always earned, and largest number that can be saved up
     */
    public resize(share: { readonly retriesPerS: number; readonly capacity: number; }): void {
        this.refill();
        this.retriesPerS = share.retriesPerS;
        this.capacity = share.capacity;
        this.balanceUnits = Math.min(this.balanceUnits, this.capacity * UNITS_PER_RETRY);
    }

    /** Credits the budget for a request that was answered. */
    public recordSuccess(): void {
        this.add(this.retriesPerSuccess);
    }

    /**
     * Takes a retry from the budget.
     *
     * @returns false when the budget is exhausted; the retry must not be made then
     */
    public tryAcquire(): boolean {
        this.refill();
        if (this.balanceUnits < UNITS_PER_RETRY) {
            return false;
        }
        this.balanceUnits -= UNITS_PER_RETRY;
        return true;
    }

    /** Charges a retry that is made even when the budget is exhausted; the capacity also caps the debt. */
    public charge(): void {
        this.balanceUnits = Math.max(-this.capacity * UNITS_PER_RETRY, this.balanceUnits - UNITS_PER_RETRY);
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        const retries = this.retriesPerS * (nowMs - this.lastRefillMs) / MS_PER_SECOND;
        if (retries * UNITS_PER_RETRY >= 1) {
            this.add(retries);
            this.lastRefillMs = nowMs;
        }
    }

    private add(retries: number): void {
        this.balanceUnits = Math.min(
            this.capacity * UNITS_PER_RETRY,
            this.balanceUnits + Math.round(retries * UNITS_PER_RETRY),
        );
    }
}
