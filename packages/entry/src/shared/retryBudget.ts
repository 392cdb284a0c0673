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
/** Sums of tenths stay exact in thousandths of a retry. */
const PARTS = 1_000;

/** Counts what retries may still be made. */
export class RetryBudget {
    private readonly clock: Clock;
    private readonly retriesPerSuccess: number;
    private retriesPerS: number;
    private capacity: number;
    private balanceParts: number;
    private countedMs: number;

    /** @param options - clock and shares */
    public constructor(options: RetryBudgetOptions) {
        this.clock = options.clock;
        this.retriesPerSuccess = options.retriesPerSuccess ?? DEFAULT_RETRIES_PER_SUCCESS;
        this.retriesPerS = options.retriesPerS ?? DEFAULT_RETRIES_PER_S;
        this.capacity = options.capacity ?? DEFAULT_CAPACITY;
        this.balanceParts = this.capacity * PARTS;
        this.countedMs = this.clock.nowMs();
    }

    /**
     * Changes the share of the budget that does not come from successes, as the number of instances changes.
     *
     * @param share - retries a second that are always possible, and most that can be saved up
     */
    public resize(share: { readonly retriesPerS: number; readonly capacity: number; }): void {
        this.addForTime();
        this.retriesPerS = share.retriesPerS;
        this.capacity = share.capacity;
        this.balanceParts = Math.min(this.balanceParts, this.capacity * PARTS);
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
        this.addForTime();
        if (this.balanceParts < PARTS) {
            return false;
        }
        this.balanceParts -= PARTS;
        return true;
    }

    /** Counts a retry that must be made whatever the budget says. */
    public charge(): void {
        this.balanceParts = Math.max(-this.capacity * PARTS, this.balanceParts - PARTS);
    }

    private addForTime(): void {
        const nowMs = this.clock.nowMs();
        const retries = this.retriesPerS * (nowMs - this.countedMs) / MS_PER_SECOND;
        if (retries * PARTS >= 1) {
            this.add(retries);
            this.countedMs = nowMs;
        }
    }

    private add(retries: number): void {
        this.balanceParts = Math.min(this.capacity * PARTS, this.balanceParts + Math.round(retries * PARTS));
    }
}
