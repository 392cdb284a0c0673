/**
 * Keeps the published state up to date by watching the platform, and tracks outages of the platform.
 *
 * @packageDocumentation
 */

import {
    branded,
    errorMessage,
    ProtocolError,
    type Revision,
    type Runtime,
    sleep,
    type StoreEra,
    timeoutSignal,
} from "@magnolialock/kernel";
import type { PublishedSource } from "../types/publishedState.ts";
import { platformFound, platformLost, platformRead, platformReread } from "./directEvents.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";

/** Options of a {@link PlatformWatcher}. */
export interface PlatformWatcherOptions {
    /** Runtime of the process. */
    readonly runtime: Pick<Runtime, "clock" | "random" | "events">;
    /** Published state at the platform. */
    readonly source: PublishedSource;
    /** Store that is kept up to date. */
    readonly store: PublishedStateStore;
    /** Returns the number of instances that watch the platform, this one included. */
    readonly fleetSize: () => number;
}

/**
 * Bounds of the duration of one watch, in milliseconds. Each watch is a billed call, but a connection that
 * has gone silent is noticed only at the end of a watch. Durations are random, so that of several instances
 * with silent connections one notices early and the others learn from its reports.
 */
const MIN_WATCH_MS = 1_500;
/** Longest watch for each instance of the fleet, in milliseconds: the more there are, the sooner one notices. */
const MAX_WATCH_PER_INSTANCE_MS = 750;
/** Longest watch, in milliseconds; the platform accepts 30 s. */
const MAX_WATCH_MS = 25_000;
/**
 * Time after the end of a watch within which its response must arrive, in milliseconds; less would treat slow
 * responses as lost.
 */
const WATCH_RESPONSE_MARGIN_MS = 1_500;
/**
 * Delay after a response with changes, in milliseconds. Changes come in bursts, and each of them would cause
 * a call by every instance. The delay counts against the time within which a configuration must take effect.
 */
const CHANGE_BATCH_DELAY_MS = 400;
/** Timeout for reading the full state, in milliseconds: a slow platform needs seconds for many pages. */
const READ_ALL_TIMEOUT_MS = 8_000;
/**
 * First delay between retries while calls fail, in milliseconds; a much shorter one wastes the platform's
 * read quota.
 */
const RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 1_000;
/**
 * Failures shorter than this are not an outage, in milliseconds: entries of servers outlive a few lost
 * heartbeats.
 */
const MIN_OUTAGE_MS = 1_000;

/**
 * Time over which an instance spreads a full read for each instance of the fleet, in milliseconds: all of them
 * notice a lost history at the same moment, and those that read first hand the state on.
 */
const READ_SPREAD_PER_INSTANCE_MS = 4;
const MAX_READ_SPREAD_MS = 2_000;
/** Shortest time between two full reads of one instance, in milliseconds. */
const MIN_READ_INTERVAL_MS = 1_000;

/** Wait of a watch for changes that have been made already, in milliseconds. */
const HISTORY_WAIT_MS = 1;

const assertNotOlder = (era: StoreEra, known: StoreEra): void => {
    if (era < known) {
        throw new ProtocolError(
            `the platform answered from era ${era} of its store, which is now in era ${known}`,
        );
    }
};

/** Watches the published state of the platform. */
export class PlatformWatcher implements Disposable {
    private readonly options: PlatformWatcherOptions;
    private readonly stopping = new AbortController();
    private currentCall = new AbortController();
    private hasFullState = false;
    private nextReadMs = Number.NEGATIVE_INFINITY;
    private eraBeforeRead: StoreEra | undefined;
    /** Era in which removals since the return of the store were asked for. */
    private removalsEra: StoreEra | undefined;
    private failingSinceMs: number | undefined;
    private lastOutageEndMs = Number.NEGATIVE_INFINITY;

    /** @param options - platform and store */
    public constructor(options: PlatformWatcherOptions) {
        this.options = options;
    }

    /** Whether the latest call to the platform failed. */
    public get isFailing(): boolean {
        return this.failingSinceMs !== undefined;
    }

    /** Time since the end of the last outage, in milliseconds; 0 during one, infinite if there was none. */
    public get sinceOutageMs(): number {
        const nowMs = this.options.runtime.clock.nowMs();
        if (this.failingSinceMs !== undefined && nowMs - this.failingSinceMs >= MIN_OUTAGE_MS) {
            return 0;
        }
        return nowMs - this.lastOutageEndMs;
    }

    /**
     * Restarts the current call at once: after a pause of the process its response may be long out of date.
     */
    public restartCall(): void {
        this.currentCall.abort();
    }

    /** Watches the platform until the watcher is disposed. */
    public async run(): Promise<void> {
        const { runtime } = this.options;
        const { signal } = this.stopping;
        let delayMs = RETRY_DELAY_MS;
        while (!signal.aborted) {
            this.currentCall = new AbortController();
            try {
                await this.syncOnce(AbortSignal.any([signal, this.currentCall.signal]));
                this.recordSuccess();
                delayMs = RETRY_DELAY_MS;
            }
            catch (error) {
                if (signal.aborted || this.currentCall.signal.aborted) {
                    continue;
                }
                this.recordFailure(errorMessage(error));
                await sleep(runtime.clock, delayMs * (0.5 + runtime.random.nextFloat()), signal).catch(
                    () => {},
                );
                delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
            }
        }
    }

    /** Stops the watcher. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
    }

    private async syncOnce(signal: AbortSignal): Promise<void> {
        const { runtime, source, store } = this.options;
        if (!this.hasFullState) {
            await this.readAll(signal);
            return;
        }
        const removalsAfter = store.era === this.removalsEra ? undefined : store.removalsAfter;
        if (removalsAfter !== undefined) {
            await this.readRemovals(removalsAfter, signal);
        }
        const waitMs = runtime.random.nextInt(
            MIN_WATCH_MS,
            Math.min(MAX_WATCH_MS, this.options.fleetSize() * MAX_WATCH_PER_INSTANCE_MS),
        );
        using timeout = timeoutSignal(runtime.clock, waitMs + WATCH_RESPONSE_MARGIN_MS, signal);
        const asked = store.version;
        const result = await source.watch(asked.revision, waitMs, timeout.signal);
        if (store.era !== asked.era) {
            // Another instance has told of a newer era; the revision that was asked for belongs to an older one.
            return;
        }
        const era = result.era ?? asked.era;
        assertNotOlder(era, asked.era);
        if (era > asked.era || result.kind === "historyLost") {
            runtime.events.emit(platformReread, {
                era,
                knownEra: asked.era,
                revision: asked.revision,
                isHistoryLost: result.kind === "historyLost",
            });
            this.hasFullState = false;
            this.scheduleRead();
            return;
        }
        store.apply(result.revision, result.changes, "platform");
        if (result.changes.length > 0) {
            await sleep(runtime.clock, CHANGE_BATCH_DELAY_MS, signal);
        }
    }

    /** Spreads the reads of a fleet that all become due at one moment, and limits those of one instance. */
    private scheduleRead(): void {
        const { fleetSize, runtime, store } = this.options;
        const nowMs = runtime.clock.nowMs();
        const spreadMs = Math.min(MAX_READ_SPREAD_MS, fleetSize() * READ_SPREAD_PER_INSTANCE_MS);
        this.eraBeforeRead = store.era;
        this.nextReadMs = Math.max(
            nowMs + spreadMs * runtime.random.nextFloat(),
            this.nextReadMs + MIN_READ_INTERVAL_MS,
        );
    }

    private async readAll(signal: AbortSignal): Promise<void> {
        const { runtime, source, store } = this.options;
        await sleep(runtime.clock, Math.max(0, this.nextReadMs - runtime.clock.nowMs()), signal);
        if (this.eraBeforeRead !== undefined && store.era > this.eraBeforeRead) {
            // Another instance has handed on what it read in the newer era.
            this.hasFullState = true;
            return;
        }
        this.nextReadMs = runtime.clock.nowMs();
        using timeout = timeoutSignal(runtime.clock, READ_ALL_TIMEOUT_MS, signal);
        const asked = store.version;
        const read = await source.readAll(timeout.signal);
        if (store.era !== asked.era && read.era === undefined) {
            return;
        }
        // A store that names no era shows its return only by a lower revision.
        const isRewound = read.era === undefined && read.revision < asked.revision;
        const era = read.era ?? branded<StoreEra>(asked.era + (isRewound ? 1 : 0));
        const { items, revision } = read;
        const isTakenOver = store.replace({ era, items, revision }, "platform");
        runtime.events.emit(platformRead, {
            era,
            revision,
            knownEra: asked.era,
            knownRevision: asked.revision,
            items: items.length,
            isTakenOver,
        });
        assertNotOlder(era, asked.era);
        this.hasFullState = true;
    }

    /** Asks for the removals since the store has returned: the full state does not tell them from what the copy lacks. */
    private async readRemovals(after: Revision, signal: AbortSignal): Promise<void> {
        const { runtime, source, store } = this.options;
        const { era } = store;
        using timeout = timeoutSignal(runtime.clock, READ_ALL_TIMEOUT_MS, signal);
        const result = await source.watch(after, HISTORY_WAIT_MS, timeout.signal);
        const isCurrent = store.era === era && (result.era ?? era) === era;
        if (result.kind === "changes" && isCurrent) {
            store.applyRemovals(result.changes);
        }
        this.removalsEra = era;
    }

    private recordSuccess(): void {
        const { runtime, store } = this.options;
        if (this.failingSinceMs === undefined) {
            return;
        }
        const awayMs = runtime.clock.nowMs() - this.failingSinceMs;
        if (awayMs >= MIN_OUTAGE_MS) {
            this.lastOutageEndMs = runtime.clock.nowMs();
        }
        this.failingSinceMs = undefined;
        runtime.events.emit(platformFound, { awayMs: Math.round(awayMs), revision: store.revision });
    }

    private recordFailure(error: string): void {
        const { runtime, store } = this.options;
        if (this.failingSinceMs === undefined) {
            this.failingSinceMs = runtime.clock.nowMs();
            runtime.events.emit(platformLost, { error, revision: store.revision });
        }
    }
}
