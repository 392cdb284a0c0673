/**
 * Selection of the processes that watch the platform: a few in each data centre, by rendezvous hashing.
 *
 * @packageDocumentation
 */

import { type Clock, type RandomSource, rendezvousOrder } from "@magnolialock/kernel";
import type { Membership } from "../membership/membership.ts";

/** Options of {@link WatcherSelection}. */
export interface WatcherSelectionOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Membership of the fleet. */
    readonly membership: Membership;
    /**
     * Returns the time since the platform last confirmed the revision, here or to a peer, in milliseconds.
     */
    readonly platformAgeMs: () => number | undefined;
}

/** Number of watchers in each data centre. They are redundant, so that the loss of one delays nothing. */
export const WATCHERS_PER_DATA_CENTRE = 3;
/**
 * Age of the last confirmation by the platform above which processes that are not watchers also read
 * occasionally, in milliseconds.
 */
const FALLBACK_AGE_MS = 15_000;
/** Maximum time between such fallback reads of one process, in milliseconds; the minimum is half of it. */
const MAX_FALLBACK_INTERVAL_MS = 20_000;

/** Decides whether this process should read the platform now. */
export class WatcherSelection implements Disposable {
    private readonly options: WatcherSelectionOptions;
    private readonly subscription: Disposable;
    private cachedIsWatcher: boolean | undefined;
    private nextFallbackMs: number;

    /** @param options - membership, clock and age of the last confirmation */
    public constructor(options: WatcherSelectionOptions) {
        this.options = options;
        this.nextFallbackMs = this.drawNextFallbackMs();
        this.subscription = options.membership.onChange(() => {
            this.cachedIsWatcher = undefined;
        });
    }

    /** Whether this process is one of the watchers of its data centre. */
    public get isWatcher(): boolean {
        this.cachedIsWatcher ??= this.isSelected();
        return this.cachedIsWatcher;
    }

    /**
     * Tells whether a read is due: always for watchers; for others a fallback read while confirmations are
     * stale.
     */
    public isReadDue(): boolean {
        if (this.isWatcher) {
            return true;
        }
        const { clock, platformAgeMs } = this.options;
        const isStale = (platformAgeMs() ?? Number.POSITIVE_INFINITY) > FALLBACK_AGE_MS;
        if (!isStale || clock.nowMs() < this.nextFallbackMs) {
            return false;
        }
        this.nextFallbackMs = this.drawNextFallbackMs();
        return true;
    }

    /** Unsubscribes from the membership. */
    public [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
    }

    private isSelected(): boolean {
        const { membership } = this.options;
        return rendezvousOrder("platform-watch", membership.liveMembers(), ({ name }) => name)
            .slice(0, WATCHERS_PER_DATA_CENTRE)
            .some(({ name }) => name === membership.self.name);
    }

    private drawNextFallbackMs(): number {
        const { clock, random } = this.options;
        return clock.nowMs() + MAX_FALLBACK_INTERVAL_MS * (0.5 + 0.5 * random.nextFloat());
    }
}
