/**
 * Task of a process that stands alone: it watches the platform's rules by itself.
 *
 * @packageDocumentation
 */

import type { Runtime } from "@magnolialock/kernel";
import type { Platform } from "../types/platform.ts";
import type { ConfigurationStore } from "./configurationStore.ts";
import { watchPlatformRules } from "./plane/watchPlatform.ts";

/** Options of {@link watchRules}. */
export interface WatchRulesOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Platform to read. */
    readonly platform: Platform;
    /** Store to offer revisions to. */
    readonly store: ConfigurationStore;
    /** Ends the task. */
    readonly signal: AbortSignal;
}

/**
 * Watches the rules until the signal aborts.
 *
 * @param options - platform, store and signal
 */
export const watchRules = (options: WatchRulesOptions): Promise<void> =>
    watchPlatformRules({
        ...options,
        isReadDue: () => true,
        onAnswered: () => {},
        onConfirmed: askedAtMs => options.store.confirm(askedAtMs),
    });
