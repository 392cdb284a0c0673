/**
 * Tasks that watch the platform's rules and instance list while reads by this process are due.
 *
 * @packageDocumentation
 */

import { errorMessage, isAborted, platformNumberOf, type Runtime, sleep } from "@magnolialock/kernel";
import type { Platform } from "../../types/platform.ts";
import type { ConfigurationStore } from "../configurationStore.ts";
import { platformUnreachable } from "../controlEvents.ts";
import type { Membership } from "../membership/membership.ts";

/** Options of the watch tasks. */
export interface WatchPlatformOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Platform to read. */
    readonly platform: Platform;
    /** Tells whether to read now. */
    readonly isReadDue: () => boolean;
    /** Called after each answered read with its start time on the monotonic clock, in milliseconds. */
    readonly onAnswered: (askedAtMs: number) => void;
    /** Stops the task. */
    readonly signal: AbortSignal;
}

/** Maximum wait of one long poll, in milliseconds. */
const WATCH_WAIT_MS = 5_000;
/**
 * Delay after each successful read, in milliseconds, with jitter of 20 %; it limits a watcher's request rate.
 */
const MIN_READ_INTERVAL_MS = 200;
/** Interval of the check whether a read is due, in milliseconds. */
const READ_DUE_CHECK_INTERVAL_MS = 500;
/** Minimum and maximum backoff after failed reads, in milliseconds. */
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 2_000;

const runWatchLoop = async (
    options: WatchPlatformOptions,
    readKind: string,
    read: () => Promise<void>,
): Promise<void> => {
    const { runtime, isReadDue, onAnswered, signal } = options;
    const pause = (delayMs: number): Promise<void> =>
        sleep(runtime.clock, delayMs * (0.8 + 0.4 * runtime.random.nextFloat()), signal).catch(() => {});
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
        if (!isReadDue()) {
            await pause(READ_DUE_CHECK_INTERVAL_MS);
            continue;
        }
        const askedAtMs = runtime.clock.nowMs();
        try {
            await read();
            onAnswered(askedAtMs);
            backoffMs = MIN_BACKOFF_MS;
            await pause(MIN_READ_INTERVAL_MS);
        }
        catch (error) {
            if (signal.aborted || isAborted(error)) {
                return;
            }
            runtime.events.emit(platformUnreachable, { what: readKind, error: errorMessage(error) });
            await pause(backoffMs);
            backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
        }
    }
};

/** Options of {@link watchPlatformRules}. */
export interface WatchPlatformRulesOptions extends WatchPlatformOptions {
    /** Store that receives the revisions. */
    readonly store: ConfigurationStore;
    /**
     * Called when the platform has no newer revision than the store, with the start time of the read on the
     * monotonic clock, in milliseconds.
     */
    readonly onConfirmed: (askedAtMs: number) => void;
}

/**
 * Watches the rules until the signal aborts.
 *
 * @param options - platform, store, read schedule and signal
 */
export const watchPlatformRules = (options: WatchPlatformRulesOptions): Promise<void> => {
    const { runtime, platform, store, signal, onConfirmed } = options;
    // The platform's own number, which differs from the revision in force once the platform was restored.
    let known = store.current && platformNumberOf(store.current.revision);
    let publishedRevision = store.current?.revision;
    return runWatchLoop(options, "rules", async () => {
        const askedAtMs = runtime.clock.nowMs();
        const published = await platform.watchRules(known, WATCH_WAIT_MS, signal);
        if (published) {
            known = published.revision;
            publishedRevision = store.offerPublished(published.revision, published.bytes).revision;
        }
        // A platform that has reverted to an older revision is no evidence that the store is current.
        if (publishedRevision !== undefined && publishedRevision >= (store.current?.revision ?? 0)) {
            onConfirmed(askedAtMs);
        }
    });
};

/** Options of {@link watchPlatformInstances}. */
export interface WatchPlatformInstancesOptions extends WatchPlatformOptions {
    /** Receives the instance list. */
    readonly membership: Membership;
}

/**
 * Watches the instance list until the signal aborts.
 *
 * @param options - platform, membership, read schedule and signal
 */
export const watchPlatformInstances = (options: WatchPlatformInstancesOptions): Promise<void> => {
    const { platform, membership, signal } = options;
    let known: number | undefined;
    return runWatchLoop(options, "instances", async () => {
        const published = await platform.watchInstances(known, WATCH_WAIT_MS, signal);
        if (published) {
            known = published.index;
            membership.applyInstanceList(published.instances);
        }
    });
};
