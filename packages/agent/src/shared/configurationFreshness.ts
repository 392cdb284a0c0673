/**
 * Whether the configuration may be acted on. It is unknown after a pause of the process, until it is confirmed.
 *
 * @packageDocumentation
 */

import type { ConfigurationStore } from "@magnolialock/control";
import type { Clock } from "@magnolialock/kernel";

/** Tells whether the configuration is fresh enough to start work by. */
export interface ConfigurationFreshness {
    /** Whether the configuration was confirmed since the last {@link ConfigurationFreshness.expire}. */
    readonly isFresh: boolean;
    /** Drops all evidence up to now. */
    expire(): void;
}

/** Options of {@link createStoreFreshness}. */
export interface StoreFreshnessOptions {
    /** Source of time, the one that confirmations are stamped with. */
    readonly clock: Clock;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Asks for a confirmation, if there is a way to. */
    readonly requestConfirmation?: (() => void) | undefined;
}

/**
 * Without any confirmation for this time, in milliseconds, the process counts as cut off and goes on with the
 * configuration that it has, as every process that is cut off does.
 */
export const CUT_OFF_AFTER_MS = 6_000;

/**
 * Follows the confirmations of a configuration store.
 *
 * @param options - clock and store
 * @returns the freshness; it is fresh at first
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
            const isCutOff = clock.nowMs() - expiredAtMs >= CUT_OFF_AFTER_MS;
            return isConfirmed || isCutOff;
        },
        expire: () => {
            expiredAtMs = clock.nowMs();
            options.requestConfirmation?.();
        },
    };
};
