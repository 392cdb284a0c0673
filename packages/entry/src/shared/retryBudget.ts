/**
 * Retries within a share of the successes, so that an overload does not multiply its own load.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Retries for each success. */
    readonly retriesPerSuccess?: number;
    /** Retries that are always possible, for a quiet entry. */
    readonly retriesPerS?: number;
    /** Most retries that can be saved up, and most that can be owed. */
    readonly capacity?: number;
}

const DEFAULT_RETRIES_PER_SUCCESS = 0.1;
const DEFAULT_RETRIES_PER_S = 0.5;
const DEFAULT_CAPACITY = 10;
const MS_PER_SECOND = 1_000;

/** Counts what retries may still be made. */
export class RetryBudget {
    private readonly clock: Clock;
    private readonly retriesPerSuccess: number;
    private readonly retriesPerS: number;
    private readonly capacity: number;
    private balance: number;
    private countedMs: number;

    /** @param options - clock and shares */
    public constructor(options: RetryBudgetOptions) {
        this.clock = options.clock;
        this.retriesPerSuccess = options.retriesPerSuccess ?? DEFAULT_RETRIES_PER_SUCCESS;
        this.retriesPerS = options.retriesPerS ?? DEFAULT_RETRIES_PER_S;
        this.capacity = options.capacity ?? DEFAULT_CAPACITY;
        this.balance = this.capacity;
        this.countedMs = this.clock.nowMs();
    }

    /** Notes a request that was answered. */
    public noteSuccess(): void {
        this.add(this.retriesPerSuccess);
    }

    /**
     * Takes a retry from the budget.
     *
     * @returns false when there is none; the retry must not be made then
     */
    public tryTake(): boolean {
        const nowMs = this.clock.nowMs();
        this.add(this.retriesPerS * (nowMs - this.countedMs) / MS_PER_SECOND);
        this.countedMs = nowMs;
        if (this.balance < 1) {
            return false;
        }
        this.balance--;
        return true;
    }

    /** Counts a retry that must be made whatever the budget says. */
    public charge(): void {
        this.balance = Math.max(-this.capacity, this.balance - 1);
    }

    private add(retries: number): void {
        this.balance = Math.min(this.capacity, this.balance + retries);
    }
}
