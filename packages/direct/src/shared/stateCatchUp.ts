/**
 * Takes over published state from other instances that know more: a newer era or revision of the store, a newer
 * configuration, or, for an instance that has just started, what the store's copy has lost.
 *
 * @packageDocumentation
 */

import { type Address, errorMessage, shuffled, timeoutSignal } from "@magnolialock/kernel";
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
}

/**
 * Time for which another instance must be ahead before its state is fetched, in milliseconds: the platform
 * usually delivers the change first.
 */
const FETCH_DELAY_MS = 400;
/** Timeout for fetching a state, in milliseconds; large configurations take a while on slow links. */
const FETCH_TIMEOUT_MS = 2_000;
/** Delay after a fetch that has brought nothing new, in milliseconds; it doubles each time. */
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

/** Keeps the published state level with the other instances. */
export class StateCatchUp {
    private readonly options: StateCatchUpOptions;
    private readonly startedMs: number;
    private behindSinceMs: number | undefined;
    private isFetching = false;
    private isJoined = false;
    private retryDelayMs = 0;
    private nextFetchMs = Number.NEGATIVE_INFINITY;

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
     * Fetches the state of an instance that has known more for a while.
     *
     * @param signal - cancels the fetch
     */
    public async catchUp(signal: AbortSignal): Promise<void> {
        this.isJoined ||= this.mayJoin();
        const { clock, random } = this.options.runtime;
        const ahead = [...this.options.peers()].filter(([, peer]) => peer.isAlive && this.isAhead(peer));
        const [source] = shuffled(random, ahead);
        if (!source) {
            this.behindSinceMs = undefined;
            return;
        }
        this.behindSinceMs ??= clock.nowMs();
        if (this.isPlatformExpected(source[1]) || this.isFetching || clock.nowMs() < this.nextFetchMs) {
            return;
        }
        this.isFetching = true;
        const known = this.describeKnowledge();
        const isFetched = await this.fetchFrom(source[0], source[1].report, signal);
        this.isFetching = false;
        this.behindSinceMs = isFetched ? undefined : this.behindSinceMs;
        this.retryDelayMs = isFetched && this.describeKnowledge() === known
            ? Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, 2 * this.retryDelayMs))
            : 0;
        this.nextFetchMs = clock.nowMs() + this.retryDelayMs;
    }

    /** Whatever reports are compared with; a fetch that changes none of it would be repeated at once. */
    private describeKnowledge(): string {
        const { configurationVersion, era, revision, revisionBeforeReturn } = this.options.store;
        return [configurationVersion, era, revision, revisionBeforeReturn].join();
    }

    /** Returns whether the state was fetched; a failure is logged. */
    private async fetchFrom(peer: Address, report: PeerReport, signal: AbortSignal): Promise<boolean> {
        const { fetchState, onFetched, runtime, store } = this.options;
        const known = store.version;
        using timeout = timeoutSignal(runtime.clock, FETCH_TIMEOUT_MS, signal);
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
            return true;
        }
        catch (error) {
            runtime.events.emit(peerFetchFailed, { peer: report.instance, error: errorMessage(error) });
            return false;
        }
    }

    /** Tells whether the platform should soon deliver what another instance already knows. */
    private isPlatformExpected({ report }: ReportingPeer): boolean {
        const { clock } = this.options.runtime;
        const { era, revision } = report;
        const isUpdate = era === undefined
            || compareVersions({ era, revision }, this.options.store.version) > 0;
        return isUpdate && this.hasJoined && this.behindSinceMs !== undefined
            && clock.nowMs() - this.behindSinceMs < FETCH_DELAY_MS;
    }

    private isAhead(peer: ReportingPeer): boolean {
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
            ? !informed.some(peer => this.isAhead(peer) || this.knowsLonger(peer))
            : !expectsOthers();
    }
}
