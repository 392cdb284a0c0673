/**
 * Task that watches the platform's rules and offers each revision to the store.
 *
 * @packageDocumentation
 */

import { errorMessage, isAborted, type Revision, type Runtime, sleep } from "@magnolialock/kernel";
import type { Platform } from "../types/platform.ts";
import type { ConfigurationStore } from "./configurationStore.ts";
import { platformUnreachable } from "./controlEvents.ts";

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

/** Longest wait of one watch, in milliseconds. */
const WATCH_WAIT_MS = 5_000;
/** Shortest and longest time between failed reads, in milliseconds. */
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;

/**
 * Watches the rules until the signal aborts.
 *
 * @param options - platform, store and signal
 */
export const watchRules = async (options: WatchRulesOptions): Promise<void> => {
    const { runtime, platform, store, signal } = options;
    let backoffMs = MIN_BACKOFF_MS;
    let known: Revision | undefined;
    while (!signal.aborted) {
        try {
            const askedAtMs = runtime.clock.nowMs();
            const published = await platform.watchRules(known, WATCH_WAIT_MS, signal);
            if (published) {
                known = published.revision;
                store.offer(published.revision, published.bytes, "platform");
            }
            // A platform that fell back to an older value is no evidence.
            if (known !== undefined && known >= (store.current?.revision ?? 0)) {
                store.confirm(askedAtMs);
            }
            backoffMs = MIN_BACKOFF_MS;
        }
        catch (error) {
            if (signal.aborted || isAborted(error)) {
                return;
            }
            runtime.events.emit(platformUnreachable, { what: "rules", error: errorMessage(error) });
            await sleep(runtime.clock, backoffMs * (0.5 + runtime.random.nextFloat()), signal).catch(
                () => {},
            );
            backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
        }
    }
};
