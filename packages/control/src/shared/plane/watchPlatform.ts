/**
 * Tasks that read the platform's rules and list while this process is on duty.
 *
 * @packageDocumentation
 */

import { errorMessage, isAborted, type Revision, type Runtime, sleep } from "@magnolialock/kernel";
import type { Platform } from "../../types/platform.ts";
import type { ConfigurationStore } from "../configurationStore.ts";
import { platformUnreachable } from "../controlEvents.ts";
import type { Membership } from "../membership/membership.ts";

/** Options of the watch tasks. */
export interface WatchPlatformOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Platform to read. */
    readonly platform: Platform;
    /** Whether to read now. */
    readonly isReadDue: () => boolean;
    /** Called with the time of each question that was answered, on the monotonic clock in milliseconds. */
    readonly onAnswered: (askedAtMs: number) => void;
    /** Ends the task. */
    readonly signal: AbortSignal;
}

/** Longest wait of one watch, in milliseconds. */
const WATCH_WAIT_MS = 5_000;
/** Shortest time between two reads of one kind, in milliseconds; it bounds the calls of a watcher. */
const MIN_READ_INTERVAL_MS = 200;
/** Time between looks at the duty, in milliseconds. */
const READ_DUE_CHECK_INTERVAL_MS = 500;
/** Shortest and longest time between failed reads, in milliseconds. */
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
    /** Store to offer revisions to. */
    readonly store: ConfigurationStore;
    /** Called when the platform holds nothing newer than the store, with the time of the question. */
    readonly onConfirmed: (askedAtMs: number) => void;
}

/**
 * Watches the rules until the signal aborts.
 *
 * @param options - platform, store, duty and signal
 */
export const watchPlatformRules = (options: WatchPlatformRulesOptions): Promise<void> => {
    const { runtime, platform, store, signal, onConfirmed } = options;
    let known: Revision | undefined = store.current?.revision;
    return runWatchLoop(options, "rules", async () => {
        const askedAtMs = runtime.clock.nowMs();
        const published = await platform.watchRules(known, WATCH_WAIT_MS, signal);
        if (published) {
            known = published.revision;
            store.offer(published.revision, published.bytes, "platform");
        }
        // A platform that fell back to an older value is no evidence.
        if (known !== undefined && known >= (store.current?.revision ?? 0)) {
            onConfirmed(askedAtMs);
        }
    });
};

/** Options of {@link watchPlatformInstances}. */
export interface WatchPlatformInstancesOptions extends WatchPlatformOptions {
    /** Takes the list. */
    readonly membership: Membership;
}

/**
 * Watches the list of instances until the signal aborts.
 *
 * @param options - platform, membership, duty and signal
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
