/**
 * Task of a standalone process, which watches the platform's rules itself instead of relying on peers.
 *
 * @packageDocumentation
 */

import type { Runtime } from "@magnolialock/kernel";
import type { Platform } from "../types/platform.ts";
import type { ConfigurationStore } from "./configurationStore.ts";
import { watchPlatformRules } from "./plane/watchPlatform.ts";

/** Options of {@link watchRulesStandalone}. */
export interface WatchRulesStandaloneOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Platform to read. */
    readonly platform: Platform;
    /** Store that receives the revisions. */
    readonly store: ConfigurationStore;
    /** Stops the task. */
    readonly signal: AbortSignal;
}

/**
 * Watches the rules until the signal aborts.
 *
 * @param options - platform, store and signal
 */
export const watchRulesStandalone = (options: WatchRulesStandaloneOptions): Promise<void> =>
    watchPlatformRules({
        ...options,
        isReadDue: () => true,
        onAnswered: () => {},
        onConfirmed: askedAtMs => options.store.confirm(askedAtMs),
    });
