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
    settlesWithin,
    sleep,
    type StoreEra,
    timeoutSignal,
} from "@magnolialock/kernel";
import type { PublishedSource, WatchResult } from "../types/publishedState.ts";
import { platformFound, platformLost, platformRead, platformReread, platformSilent } from "./directEvents.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";
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

/** Who found that open connections have gone silent. */
export type SilenceOrigin = "own" | "peer";

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
/** Time for which instances tell each other of a silence, in milliseconds: a few reports to other data centres. */
const SILENCE_TOLD_MS = 4_000;
/** Shortest time between two restarts of the call because another instance has found a silence, in milliseconds. */
const MIN_SILENCE_INTERVAL_MS = 5_000;
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

/** A call to the store that is made again on a new connection when its answer is overdue. */
interface StoreCall<T> {
    /** Time after which the answer is overdue, in milliseconds. */
    readonly overdueMs: number;
    /** Time after which the call fails, in milliseconds. */
    readonly timeoutMs: number;
    /** Makes the call. */
    readonly make: (signal: AbortSignal) => Promise<T>;
    /** Makes the call that is to be answered at once on a new connection. */
    readonly check: (signal: AbortSignal) => Promise<T>;
}

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
    /** Calls of the current outage, and the time at which the latest call began; both are logged. */
    private outageCalls = 0;
    private lastCallMs = Number.NEGATIVE_INFINITY;
    /** Time at which the current watch ends; undefined while there is none. */
    private watchEndMs: number | undefined;
    /** Whether the other instances begin their next watches at about the same time as this one. */
    private isSynchronised = true;
    private overdueMs = MIN_OVERDUE_MS;
    /** Time of the last answer of the store. */
    private heardMs = Number.NEGATIVE_INFINITY;
    /** Time of the last answer, or from which the connections are new. */
    private verifiedMs = Number.NEGATIVE_INFINITY;
    /** Time at which some instance last found that open connections had gone silent. */
    private silenceFoundMs = Number.NEGATIVE_INFINITY;
    private lastSilenceRestartMs = Number.NEGATIVE_INFINITY;

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

    /** Time since the last answer of the store, in milliseconds; infinite before the first. */
    public get sinceHeardMs(): number {
        return this.options.runtime.clock.nowMs() - this.heardMs;
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
        const ageMs = this.options.runtime.clock.nowMs() - this.silenceFoundMs;
        return ageMs < SILENCE_TOLD_MS ? ageMs : undefined;
    }

    /**
     * Restarts the current call at once, on a new connection: after a pause of the process its response may be long out
     * of date, and its connection closed.
     */
    public restartCall(): void {
        this.reconnect();
        this.currentCall.abort();
    }

    /**
     * Handles the word of another instance that open connections to the store have gone silent.
     *
     * @param ageMs - time since some instance found it, in milliseconds
     */
    public handleSilence(ageMs: number): void {
        const nowMs = this.options.runtime.clock.nowMs();
        const foundMs = nowMs - ageMs;
        this.silenceFoundMs = Math.max(this.silenceFoundMs, foundMs);
        const isDue = nowMs - this.lastSilenceRestartMs >= MIN_SILENCE_INTERVAL_MS;
        if (foundMs <= this.verifiedMs || ageMs >= SILENCE_TOLD_MS || !isDue) {
            return;
        }
        this.lastSilenceRestartMs = nowMs;
        this.isSynchronised = true;
        this.restartCall();
        this.options.onSilence("peer");
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
        const { runtime, store } = this.options;
        if (!this.hasFullState) {
            await this.readAll(signal);
            return;
        }
        const removalsAfter = store.era === this.removalsEra ? undefined : store.removalsAfter;
        if (removalsAfter !== undefined) {
            await this.readRemovals(removalsAfter, signal);
        }
        const asked = store.version;
        const result = await this.watch(asked.revision, signal);
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
            this.isSynchronised = true;
            this.scheduleRead();
            return;
        }
        store.apply(result.revision, result.changes, "platform");
        if (result.changes.length > 0) {
            this.isSynchronised = true;
            await sleep(runtime.clock, CHANGE_BATCH_DELAY_MS, signal);
        }
    }

    /** Waits for changes; a connection that has gone silent delays them only until the watch is overdue. */
    private async watch(after: Revision, signal: AbortSignal): Promise<WatchResult> {
        const { fleetWatches, runtime: { clock, random }, source } = this.options;
        const watches = fleetWatches();
        const waitMs = Math.round(
            this.isSynchronised ? firstWatchMs(watches) : nextWatchMs(watches, random.nextFloat()),
        );
        this.isSynchronised = false;
        this.watchEndMs = clock.nowMs() + waitMs;
        try {
            return await this.callStore({
                overdueMs: waitMs + this.overdueMs,
                timeoutMs: waitMs + WATCH_RESPONSE_MARGIN_MS,
                make: callSignal => source.watch(after, waitMs, callSignal),
                check: callSignal => source.watch(after, HISTORY_WAIT_MS, callSignal),
            }, signal);
        }
        finally {
            const isSilent = this.silenceFoundMs >= this.watchEndMs;
            const lateMs = isSilent ? 0 : clock.nowMs() - this.watchEndMs;
            const toleratedMs = Math.max(lateMs * OVERDUE_FACTOR, this.overdueMs * OVERDUE_DECAY);
            this.overdueMs = Math.min(WATCH_RESPONSE_MARGIN_MS, Math.max(MIN_OVERDUE_MS, toleratedMs));
            this.watchEndMs = undefined;
        }
    }

    /** Calls the store, and once more on a new connection if the answer is overdue; the first answer counts. */
    private async callStore<T>(call: StoreCall<T>, signal: AbortSignal): Promise<T> {
        const { clock } = this.options.runtime;
        const firstEnd = new AbortController();
        const secondEnd = new AbortController();
        using firstSignal = timeoutSignal(clock, call.timeoutMs, signal, firstEnd.signal);
        using secondSignal = timeoutSignal(clock, call.timeoutMs, signal, secondEnd.signal);
        this.outageCalls++;
        this.lastCallMs = clock.nowMs();
        let isFirstOpen = true;
        const first = call.make(firstSignal.signal).finally(() => isFirstOpen = false);
        if (await settlesWithin(clock, first, call.overdueMs)) {
            const answer = await first;
            this.recordHeard();
            return answer;
        }
        const lastVerifiedMs = this.verifiedMs;
        this.reconnect();
        this.outageCalls++;
        this.lastCallMs = clock.nowMs();
        const second = call.check(secondSignal.signal);
        const answer = await Promise.any([first, second]).catch(() => first);
        // An answer to the first call that this process has not read yet shows that its connection works.
        await sleep(clock, 0);
        if (isFirstOpen) {
            first.catch(() => {});
            firstEnd.abort();
            this.recordSilence(lastVerifiedMs);
        }
        second.catch(() => {});
        secondEnd.abort();
        this.recordHeard();
        return answer;
    }

    private recordHeard(): void {
        this.heardMs = this.options.runtime.clock.nowMs();
        this.verifiedMs = this.heardMs;
    }

    /** Opens new connections; what was heard before on the open ones says nothing of them. */
    private reconnect(): void {
        const { runtime, source } = this.options;
        source.reconnect();
        this.verifiedMs = runtime.clock.nowMs();
    }

    private recordSilence(lastVerifiedMs: number): void {
        const { onSilence, runtime: { clock, events }, store } = this.options;
        const nowMs = clock.nowMs();
        const sinceVerifiedMs = Math.round(nowMs - lastVerifiedMs);
        this.silenceFoundMs = nowMs;
        this.lastSilenceRestartMs = nowMs;
        this.isSynchronised = true;
        events.emit(platformSilent, { sinceVerifiedMs, revision: store.revision });
        onSilence("own");
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
        const read = await this.callStore({
            overdueMs: READ_OVERDUE_MS,
            timeoutMs: READ_ALL_TIMEOUT_MS,
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
        const call = { overdueMs: READ_OVERDUE_MS, timeoutMs: READ_ALL_TIMEOUT_MS, make: read, check: read };
        const result = await this.callStore(call, signal);
        const isCurrent = store.era === era && (result.era ?? era) === era;
        if (result.kind === "changes" && isCurrent) {
            store.applyRemovals(result.changes);
        }
        this.removalsEra = era;
    }

    private recordSuccess(): void {
        const { runtime, store } = this.options;
        const calls = this.outageCalls;
        this.outageCalls = 0;
        if (this.failingSinceMs === undefined) {
            return;
        }
        const awayMs = runtime.clock.nowMs() - this.failingSinceMs;
        const sinceCallMs = Math.round(runtime.clock.nowMs() - this.lastCallMs);
        if (awayMs >= MIN_OUTAGE_MS) {
            this.lastOutageEndMs = runtime.clock.nowMs();
        }
        this.failingSinceMs = undefined;
        runtime.events.emit(platformFound, {
            awayMs: Math.round(awayMs),
            revision: store.revision,
            calls,
            sinceCallMs,
        });
    }

    private recordFailure(error: string): void {
        const { runtime, store } = this.options;
        if (this.failingSinceMs === undefined) {
            this.failingSinceMs = runtime.clock.nowMs();
            runtime.events.emit(platformLost, { error, revision: store.revision });
        }
    }
}
