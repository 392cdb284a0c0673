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
} from "@magnolialock/kernel";
import type { PublishedSource, WatchResult } from "../types/publishedState.ts";
import { platformFound, platformLost, platformRead, platformReread } from "./directEvents.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";
import { type SilenceOrigin, type StoreCall, StoreConnection } from "./storeConnection.ts";
import { firstWatchMs, type FleetWatches, nextWatchMs } from "./watchSchedule.ts";

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
    /** Returns the watches of the live instances. */
    readonly fleetWatches: () => FleetWatches;
    /**
     * Called when open connections turn out to have gone silent: those to other processes may be silent, too.
     *
     * @param origin - whether this instance found it or another one
     */
    readonly onSilence: (origin: SilenceOrigin) => void;
}

/**
 * Time after the end of a watch within which its response must arrive, in milliseconds; less would treat slow
 * responses as lost.
 */
const WATCH_RESPONSE_MARGIN_MS = 1_500;
/**
 * Time after the end of a watch from which its connection is suspected to be silent, in milliseconds. The store is then
 * asked on a new connection as well.
 */
const MIN_OVERDUE_MS = 350;
/** Multiple of the delay of a late answer from which the next ones are suspected: a second call does not help a slow store. */
const OVERDUE_FACTOR = 2;
/** What is left of this tolerance after an answer in time. */
const OVERDUE_DECAY = 0.5;
/** Time after which a full read is begun on a new connection as well, in milliseconds. */
const READ_OVERDUE_MS = 1_000;
/**
 * Delay after a response with changes, in milliseconds. Changes come in bursts, and each of them would cause
 * a call by every instance. The delay counts against the time within which a configuration must take effect.
 */
export const CHANGE_BATCH_DELAY_MS = 400;
/** Timeout for reading the full state, in milliseconds: a slow platform needs seconds for many pages. */
const READ_ALL_TIMEOUT_MS = 8_000;
/** Times of calls that read much; the time between two of them grows, since each loads a slow store. */
const READ_TIMES: Pick<StoreCall<unknown>, "overdueMs" | "timeoutMs" | "checkAfterMs"> = {
    overdueMs: READ_OVERDUE_MS,
    timeoutMs: READ_ALL_TIMEOUT_MS,
    checkAfterMs: checks => READ_OVERDUE_MS * 2 ** checks,
};
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
    /** Number of calls until the current outage. */
    private callsBeforeOutage = 0;
    /** Time at which the current watch ends; undefined while there is none. */
    private watchEndMs: number | undefined;
    /** Whether the other instances begin their next watches at about the same time as this one. */
    private isSynchronised = true;
    private overdueMs = MIN_OVERDUE_MS;
    private readonly connection: StoreConnection;

    /** @param options - platform and store */
    public constructor(options: PlatformWatcherOptions) {
        this.options = options;
        const { fleetSize, onSilence, runtime, source, store } = options;
        this.connection = new StoreConnection({
            runtime,
            reconnect: () => source.reconnect(),
            fleetSize,
            revision: () => store.revision,
            onRestart: () => {
                this.isSynchronised = true;
                this.currentCall.abort();
            },
            onSilence,
        });
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

    /** Time since the last answer of the store, in milliseconds; infinite before the first. */
    public get sinceHeardMs(): number {
        return this.connection.sinceHeardMs;
    }

    /** Whether calls to the store time out. */
    public get isSilent(): boolean {
        return this.connection.isSilent;
    }

    /** Time until the current watch ends, in milliseconds; undefined if there is none. */
    public get watchEndsMs(): number | undefined {
        return this.watchEndMs === undefined
            ? undefined
            : Math.max(0, this.watchEndMs - this.options.runtime.clock.nowMs());
    }

    /**
     * Time since some instance found that open connections to the store had gone silent, in milliseconds; undefined if
     * none has lately.
     */
    public get silenceAgeMs(): number | undefined {
        return this.connection.silenceAgeMs;
    }

    /**
     * Restarts the current call at once, on a new connection: after a pause of the process its response may be long out
     * of date, and its connection closed.
     */
    public restartCall(): void {
        this.connection.reconnect();
        this.currentCall.abort();
    }

    /**
     * Handles the word of another instance that open connections to the store have gone silent.
     *
     * @param ageMs - time since some instance found it, in milliseconds
     */
    public handleSilence(ageMs: number): void {
        this.connection.handleSilence(ageMs);
    }

    /** Watches the platform until the watcher is disposed. */
    public async run(): Promise<void> {
        const { clock, random } = this.options.runtime;
        let retryDelayMs = RETRY_DELAY_MS;
        while (!this.stopping.signal.aborted) {
            this.currentCall = new AbortController();
            const signal = AbortSignal.any([this.stopping.signal, this.currentCall.signal]);
            const startedMs = clock.nowMs();
            let pauseMs: number;
            try {
                pauseMs = await this.syncOnce(signal);
                this.recordSuccess();
                retryDelayMs = RETRY_DELAY_MS;
            }
            catch (error) {
                if (signal.aborted) {
                    continue;
                }
                this.recordFailure(errorMessage(error));
                pauseMs = this.connection.isSilent
                    ? this.connection.checkPeriodMs - (clock.nowMs() - startedMs)
                    : retryDelayMs * (0.5 + random.nextFloat());
                retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
            }
            await sleep(clock, Math.max(0, pauseMs), signal).catch(() => {});
        }
    }

    /** Stops the watcher. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
        this.connection[Symbol.dispose]();
    }

    /** Reads what is due, or waits for changes; returns the pause until the next call, in milliseconds. */
    private async syncOnce(signal: AbortSignal): Promise<number> {
        const { runtime, store } = this.options;
        if (!this.hasFullState) {
            await this.readAll(signal);
            return 0;
        }
        const removalsAfter = store.era === this.removalsEra ? undefined : store.removalsAfter;
        if (removalsAfter !== undefined) {
            await this.readRemovals(removalsAfter, signal);
        }
        const asked = store.version;
        const result = this.isFailing
            ? await this.check(asked.revision, signal)
            : await this.watch(asked.revision, signal);
        if (store.era !== asked.era) {
            // Another instance has told of a newer era; the revision that was asked for belongs to an older one.
            return 0;
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
            this.isSynchronised = true;
            this.scheduleRead();
            return 0;
        }
        store.apply(result.revision, result.changes, "platform");
        if (result.changes.length === 0) {
            return 0;
        }
        this.isSynchronised = true;
        return CHANGE_BATCH_DELAY_MS;
    }

    /** Asks for changes without waiting for them: a watch that begins while the store is silent would never be answered. */
    private async check(after: Revision, signal: AbortSignal): Promise<WatchResult> {
        const ask = (callSignal: AbortSignal): Promise<WatchResult> =>
            this.options.source.watch(after, HISTORY_WAIT_MS, callSignal);
        this.isSynchronised = true;
        return await this.connection.call({
            overdueMs: this.connection.checkPeriodMs,
            timeoutMs: WATCH_RESPONSE_MARGIN_MS,
            make: ask,
            check: ask,
        }, signal);
    }

    /** Waits for changes; a connection that has gone silent delays them only until the watch is overdue. */
    private async watch(after: Revision, signal: AbortSignal): Promise<WatchResult> {
        const { fleetWatches, runtime: { clock, random }, source } = this.options;
        const watches = fleetWatches();
        const waitMs = Math.round(
            this.isSynchronised ? firstWatchMs(watches) : nextWatchMs(watches, random.nextFloat()),
        );
        this.isSynchronised = false;
        const endMs = clock.nowMs() + waitMs;
        this.watchEndMs = endMs;
        try {
            const answer = await this.connection.call({
                overdueMs: waitMs + this.overdueMs,
                timeoutMs: waitMs + WATCH_RESPONSE_MARGIN_MS,
                make: callSignal => source.watch(after, waitMs, callSignal),
                check: callSignal => source.watch(after, HISTORY_WAIT_MS, callSignal),
            }, signal);
            this.adaptTolerance(this.connection.isSilentSince(endMs) ? 0 : clock.nowMs() - endMs);
            return answer;
        }
        finally {
            this.watchEndMs = undefined;
        }
    }

    /** Adapts the delay from which answers are overdue to that of an answer, in milliseconds. */
    private adaptTolerance(lateMs: number): void {
        const toleratedMs = Math.max(lateMs * OVERDUE_FACTOR, this.overdueMs * OVERDUE_DECAY);
        this.overdueMs = Math.min(WATCH_RESPONSE_MARGIN_MS, Math.max(MIN_OVERDUE_MS, toleratedMs));
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
        const asked = store.version;
        const read = await this.connection.call({
            ...READ_TIMES,
            make: callSignal => source.readAll(callSignal),
            check: callSignal => source.readAll(callSignal),
        }, signal);
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
        const { source, store } = this.options;
        const { era } = store;
        const read = (callSignal: AbortSignal): Promise<WatchResult> =>
            source.watch(after, HISTORY_WAIT_MS, callSignal);
        const result = await this.connection.call({ ...READ_TIMES, make: read, check: read }, signal);
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
        runtime.events.emit(platformFound, {
            awayMs: Math.round(awayMs),
            revision: store.revision,
            calls: this.connection.calls - this.callsBeforeOutage,
            sinceCallMs: Math.round(this.connection.sinceCallMs),
        });
    }

    private recordFailure(error: string): void {
        const { runtime, store } = this.options;
        if (this.failingSinceMs === undefined) {
            this.failingSinceMs = runtime.clock.nowMs();
            this.callsBeforeOutage = this.connection.calls;
            runtime.events.emit(platformLost, { error, revision: store.revision });
        }
    }
}
