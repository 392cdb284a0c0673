/**
 * Freshness of the configuration. After a pause of the process the configuration may be outdated, so no work
 * may start until it is confirmed.
 *
 * @packageDocumentation
 */

import type { ConfigurationStore } from "@magnolialock/control";
import type { Clock } from "@magnolialock/kernel";

/** Decides whether the configuration is fresh enough to start work. */
export interface ConfigurationFreshness {
    /** Whether the configuration was confirmed after the last {@link ConfigurationFreshness.expire}. */
    readonly isFresh: boolean;
    /** Invalidates all confirmations up to now. */
    expire(): void;
}

/** Options of {@link createStoreFreshness}. */
export interface StoreFreshnessOptions {
    /** Source of time; the same one that stamps the confirmations. */
    readonly clock: Clock;
    /** Store of the configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Requests a confirmation; undefined if there is no way to request one. */
    readonly requestConfirmation?: (() => void) | undefined;
}

/**
 * Time without a confirmation after which the process counts as isolated, in milliseconds. Like every
 * isolated process it then continues with the configuration that it has.
 */
export const ISOLATED_AFTER_MS = 6_000;

/**
 * Derives the freshness from the confirmations of a configuration store.
 *
 * @param options - clock and store
 * @returns the freshness; the configuration counts as fresh at first, and after an expiry once it is
 * confirmed or the process counts as isolated
 */
export const createStoreFreshness = (options: StoreFreshnessOptions): ConfigurationFreshness => {
    const { clock, configuration } = options;
    let expiredAtMs: number | undefined;
    return {
        get isFresh() {
            if (expiredAtMs === undefined) {
                return true;
            }
            const isConfirmed = (configuration.confirmedAtMs ?? Number.NEGATIVE_INFINITY) >= expiredAtMs;
            const isIsolated = clock.nowMs() - expiredAtMs >= ISOLATED_AFTER_MS;
            return isConfirmed || isIsolated;
        },
        expire: () => {
            expiredAtMs = clock.nowMs();
            options.requestConfirmation?.();
        },
    };
};
