/**
 * Takes over published state from other instances that know more: a newer era or revision of the store, a newer
 * configuration, or, for an instance that has just started, what the store's copy has lost.
 *
 * @packageDocumentation
 */

import {
    type Address,
    errorMessage,
    settlesWithin,
    shuffled,
    timeoutSignal,
    type Timer,
} from "@magnolialock/kernel";
import { decodePublishedState } from "./decodePeerAnswers.ts";
import type { DirectRuntime } from "./directContext.ts";
import { peerFetchFailed, stateFetched } from "./directEvents.ts";
import type { PeerReport } from "./peerReport.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";
import { compareVersions } from "./stateVersion.ts";

/** Another instance with its latest report. */
export interface ReportingPeer {
    /** Its latest report. */
    readonly report: PeerReport;
    /** Time at which the report arrived, in milliseconds. */
    readonly lastReportMs: number;
    /** Whether it has reported lately. */
    readonly isAlive: boolean;
}

/** Options of a {@link StateCatchUp}. */
export interface StateCatchUpOptions {
    /** Runtime of the process. */
    readonly runtime: DirectRuntime;
    /** Published state of this instance. */
    readonly store: PublishedStateStore;
    /** Returns the other instances by address. */
    readonly peers: () => ReadonlyMap<Address, ReportingPeer>;
    /** Returns whether there may be other instances that have not reported yet. */
    readonly expectsOthers: () => boolean;
    /**
     * Fetches the published state that another instance knows.
     *
     * @param peer - address of the instance
     * @param signal - cancels the call
     * @returns the state, not decoded
     */
    readonly fetchState: (peer: Address, signal: AbortSignal) => Promise<unknown>;
    /** Called after the state of another instance was taken over. */
    readonly onFetched: () => void;
    /** Returns whether calls of this instance to the store time out. */
    readonly isStoreSilent: () => boolean;
}

/**
 * Time for which another instance must be ahead before its state is fetched, in milliseconds: the platform
 * usually delivers the change first.
 */
const FETCH_DELAY_MS = 600;
/** The same while the store is silent, in milliseconds: a call that is made at the word of its return is answered in this time. */
const SILENT_FETCH_DELAY_MS = 200;
/**
 * Time after which the state is fetched from another instance as well, in milliseconds: the one before may have ended since
 * its report.
 */
const FETCH_OVERDUE_MS = 400;
/** Instances heard last among which the one to ask is drawn, at least. */
const MIN_SOURCES = 3;
/** Timeout for fetching a state from any instance, in milliseconds; large configurations take a while on slow links. */
const FETCH_TIMEOUT_MS = 2_000;
/** Shortest time until this instance compares itself with the others again, in milliseconds. */
const MIN_CHECK_DELAY_MS = 50;
/** Delay after a fetch that has failed, or has brought nothing new, in milliseconds; the latter doubles it each time. */
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5_000;
/**
 * Time after the start at which this instance serves although it has not heard what the others know, in
 * milliseconds: they may all be out of reach.
 */
const JOIN_TIMEOUT_MS = 1_500;
/**
 * An instance that has followed the store for longer than this one by this time knows what an older copy has lost,
 * in milliseconds; instances of a fleet that starts as a whole differ by less.
 */
const LONGER_KNOWLEDGE_MS = 2_000;

const NOBODY_ASKED: ReadonlyMap<Address, number> = new Map();

type PeerEntry = readonly [Address, ReportingPeer];

/** The newest of each that some instances report. */
interface NewestReported {
    readonly era: number;
    readonly revision: number;
    readonly configurationVersion: number;
}

/** Keeps the published state level with the other instances. */
export class StateCatchUp implements Disposable {
    private readonly options: StateCatchUpOptions;
    private readonly startedMs: number;
    private behindSinceMs: number | undefined;
    private isFetching = false;
    private check: Timer | undefined;
    private isJoined = false;
    private retryDelayMs = 0;
    private nextFetchMs = Number.NEGATIVE_INFINITY;
    /** The newest that others reported when the state was last fetched. */
    private reported: NewestReported | undefined;

    /** @param options - store and other instances */
    public constructor(options: StateCatchUpOptions) {
        this.options = options;
        this.startedMs = options.runtime.clock.nowMs();
    }

    /**
     * Whether this instance may serve: it knows a configuration, and what the others knew when it started, or nobody
     * has told it in time.
     */
    public get hasJoined(): boolean {
        if (!this.isJoined) {
            this.isJoined = this.mayJoin();
        }
        return this.isJoined;
    }

    /**
     * Tells whether another instance knows more than this one.
     *
     * @param peer - the other instance
     */
    public isBehind(peer: ReportingPeer): boolean {
        const { store } = this.options;
        const { configurationVersion, era, revision, revisionBeforeReturn } = peer.report;
        if (era === undefined) {
            // An earlier release reports a bare revision, which means nothing once the store has returned from a copy.
            return store.returns === 0 && revision > store.revision;
        }
        const order = compareVersions({ era, revision }, store.version);
        return order > 0
            || configurationVersion > store.configurationVersion
            || era === store.era && revisionBeforeReturn > store.revisionBeforeReturn
            || order === 0 && this.knowsLonger(peer);
    }

    /**
     * Fetches the state of an instance that has known more for a while, or checks again when that is due: the next report of
     * this instance may be seconds away in a large fleet.
     *
     * @param signal - cancels the fetch
     */
    public async catchUp(signal: AbortSignal): Promise<void> {
        this.isJoined ||= this.mayJoin();
        const { clock } = this.options.runtime;
        const first = this.selectSource(NOBODY_ASKED);
        if (!first) {
            this.behindSinceMs = undefined;
            return;
        }
        this.behindSinceMs ??= clock.nowMs();
        if (this.retryDelayMs > MIN_RETRY_DELAY_MS && this.isMoreReported()) {
            // The delay is for what was reported, and not handed on, before.
            this.retryDelayMs = 0;
            this.nextFetchMs = Number.NEGATIVE_INFINITY;
            this.check?.cancel();
            this.check = undefined;
        }
        const dueMs = Math.max(this.nextFetchMs, this.behindSinceMs + this.platformDelayMs(first[1]));
        if (this.isFetching || clock.nowMs() < dueMs) {
            this.scheduleCheck(dueMs, signal);
            return;
        }
        this.isFetching = true;
        const known = this.describeKnowledge();
        this.reported = this.newestReported();
        const isFetched = await this.fetchFromAny(signal);
        this.isFetching = false;
        if (isFetched) {
            this.behindSinceMs = undefined;
        }
        this.retryDelayMs = this.nextRetryDelayMs(isFetched, this.describeKnowledge() !== known);
        this.nextFetchMs = clock.nowMs() + this.retryDelayMs;
        this.scheduleCheck(this.nextFetchMs, signal);
    }

    /** Cancels the timer. */
    public [Symbol.dispose](): void {
        this.check?.cancel();
    }

    private peersAhead(): PeerEntry[] {
        return [...this.options.peers()].filter(([, peer]) => peer.isAlive && this.isBehind(peer));
    }

    private newestReported(): NewestReported {
        const reports = this.peersAhead().map(([, { report }]) => report);
        return {
            era: Math.max(0, ...reports.map(({ era }) => era ?? 0)),
            revision: Math.max(0, ...reports.map(({ revision }) => revision)),
            configurationVersion: Math.max(0, ...reports.map(report => report.configurationVersion)),
        };
    }

    /** Whether others report more than they did when the state was last fetched. */
    private isMoreReported(): boolean {
        const newest = this.newestReported();
        const { reported } = this;
        return reported === undefined || newest.era > reported.era || newest.revision > reported.revision
            || newest.configurationVersion > reported.configurationVersion;
    }

    /**
     * Draws an instance that knows more from those heard last: others may have ended since.
     *
     * @param askedMs - when instances were asked; they come into question again once they have reported since
     */
    private selectSource(askedMs: ReadonlyMap<Address, number>): PeerEntry | undefined {
        const ahead = this.peersAhead().filter(([address, { lastReportMs }]) =>
            lastReportMs > (askedMs.get(address) ?? Number.NEGATIVE_INFINITY)
        );
        const heardLast = ahead.sort(([, left], [, right]) => right.lastReportMs - left.lastReportMs)
            .slice(0, Math.max(MIN_SOURCES, Math.ceil(ahead.length / 2)));
        return shuffled(this.options.runtime.random, heardLast)[0];
    }

    private scheduleCheck(dueMs: number, signal: AbortSignal): void {
        const { clock } = this.options.runtime;
        if (this.check || signal.aborted) {
            return;
        }
        this.check = clock.setTimer(Math.max(MIN_CHECK_DELAY_MS, dueMs - clock.nowMs()), () => {
            this.check = undefined;
            if (!signal.aborted) {
                void this.catchUp(signal);
            }
        });
    }

    private nextRetryDelayMs(isFetched: boolean, isNew: boolean): number {
        if (!isFetched) {
            return MIN_RETRY_DELAY_MS;
        }
        return isNew ? 0 : Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, 2 * this.retryDelayMs));
    }

    /**
     * Fetches from one instance that knows more, and from another one as well while none has answered; tells whether one has.
     * Those that have reported since are alive, so they come into question again.
     */
    private async fetchFromAny(signal: AbortSignal): Promise<boolean> {
        const { clock } = this.options.runtime;
        const ended = new AbortController();
        const askedMs = new Map<Address, number>();
        const fetches: Promise<void>[] = [];
        const endMs = clock.nowMs() + FETCH_TIMEOUT_MS;
        let isFetched = false;
        while (!isFetched && clock.nowMs() < endMs && !signal.aborted) {
            const source = this.selectSource(askedMs);
            if (source) {
                askedMs.set(source[0], clock.nowMs());
                fetches.push(this.fetchFrom(source, signal, ended.signal));
            }
            const succeeded = Promise.any(fetches).then(() => {
                isFetched = true;
            });
            const hasFailed = await settlesWithin(clock, succeeded, FETCH_OVERDUE_MS) && !isFetched;
            if (hasFailed && !this.selectSource(askedMs)) {
                break;
            }
        }
        ended.abort();
        return isFetched;
    }

    /** Whatever reports are compared with; a fetch that changes none of it would be repeated at once. */
    private describeKnowledge(): string {
        const { configurationVersion, era, revision, revisionBeforeReturn } = this.options.store;
        return [configurationVersion, era, revision, revisionBeforeReturn].join();
    }

    /** Rejects if the state cannot be fetched, which is logged unless another fetch has ended it. */
    private async fetchFrom(
        [peer, { report }]: PeerEntry,
        signal: AbortSignal,
        ended: AbortSignal,
    ): Promise<void> {
        const { fetchState, onFetched, runtime, store } = this.options;
        const known = store.version;
        using timeout = timeoutSignal(runtime.clock, FETCH_TIMEOUT_MS, signal, ended);
        try {
            const state = decodePublishedState(await fetchState(peer, timeout.signal), store.era);
            const isLonger = state.ageMs > store.ageMs + LONGER_KNOWLEDGE_MS;
            const isInherited = isLonger && compareVersions(state, store.version) >= 0;
            if (isInherited) {
                store.inherit(state);
            }
            else {
                store.replace(state, "peer");
            }
            runtime.events.emit(stateFetched, {
                peer: report.instance,
                era: state.era,
                revision: state.revision,
                knownEra: known.era,
                knownRevision: known.revision,
                isInherited,
                configurationVersion: store.configurationVersion,
            });
            onFetched();
        }
        catch (error) {
            if (!ended.aborted) {
                runtime.events.emit(peerFetchFailed, { peer: report.instance, error: errorMessage(error) });
            }
            throw error;
        }
    }

    /** Time for which the platform may deliver what another instance already knows, in milliseconds. */
    private platformDelayMs({ report }: ReportingPeer): number {
        const { isStoreSilent, store } = this.options;
        const { era, revision } = report;
        const isUpdate = era === undefined || compareVersions({ era, revision }, store.version) > 0;
        if (!isUpdate || !this.hasJoined) {
            return 0;
        }
        return isStoreSilent() ? SILENT_FETCH_DELAY_MS : FETCH_DELAY_MS;
    }

    private knowsLonger({ lastReportMs, report }: ReportingPeer): boolean {
        const { runtime, store } = this.options;
        const ageMs = report.stateAgeMs + runtime.clock.nowMs() - lastReportMs;
        return report.stateAgeMs > 0 && ageMs > store.ageMs + LONGER_KNOWLEDGE_MS;
    }

    private mayJoin(): boolean {
        const { expectsOthers, peers, runtime, store } = this.options;
        if (store.configuration === undefined) {
            return false;
        }
        if (runtime.clock.nowMs() - this.startedMs >= JOIN_TIMEOUT_MS) {
            return true;
        }
        const informed = [...peers().values()].filter(({ isAlive, report }) =>
            isAlive && report.revision > 0
        );
        return informed.length > 0
            ? !informed.some(peer => this.isBehind(peer) || this.knowsLonger(peer))
            : !expectsOthers();
    }
}
