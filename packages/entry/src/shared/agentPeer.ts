/**
 * The entry's view of one agent. For each peer, one background task watches the agent's state.
 *
 * @packageDocumentation
 */

import { type Client, createClient } from "@connectrpc/connect";
import { errorMessage, type Runtime, sleep } from "@magnolialock/kernel";
import { AgentService, type AgentState, Warmth } from "@magnolialock/protocol";
import type { ServerRule } from "@magnolialock/rules";
import { LRUCache } from "lru-cache";
import { AgentSession } from "./agentSession.ts";
import type { DataCentreHealth } from "./dataCentreHealth.ts";
import { agentFound, agentLost } from "./entryEvents.ts";
import { PeerHealth, type TrackedAttempt } from "./peerHealth.ts";
import { prefixKeyOf } from "./prefixKey.ts";

/** Options of an {@link AgentPeer}. */
export interface AgentPeerOptions {
    /** Runtime of the process. */
    readonly runtime: Runtime;
    /** Instance name of the entry. */
    readonly entry: string;
    /** Rule of the backend server. */
    readonly rule: ServerRule;
    /** Health of the backend server's data centre; undefined for the local data centre. */
    readonly dataCentreHealth?: DataCentreHealth | undefined;
}

const REPORT_PERIOD_MS = 500;
const RECONNECT_DELAY_MS = 300;
/** Age above which a state report is ignored, in milliseconds. */
const STATE_TTL_MS = 2_000;
/** Slow start: time in which a returning server goes from the minimum to its full share, in milliseconds. */
const SLOW_START_MS = 5_000;
const SLOW_START_MIN_SHARE = 0.2;
/** Weight of a new sample in the moving average of the round-trip time. */
const ROUND_TRIP_SMOOTHING = 0.2;
const MAX_KNOWN_PREFIXES = 512;

/** One agent as the entry sees it: the last reported state, which lags, and the entry's own calls. */
export class AgentPeer implements Disposable {
    /** Rule of the backend server; replaced when the configuration changes. */
    public rule: ServerRule;
    /** RPC client of the agent. */
    public readonly client: Client<typeof AgentService>;
    /** Session over which attempts run. */
    public readonly session: AgentSession;
    /** Health of the agent, as observed in this entry's own traffic. */
    public readonly health: PeerHealth;
    private readonly runtime: Runtime;
    private readonly entry: string;
    private readonly disposeController = new AbortController();
    private readonly knownPrefixes = new LRUCache<string, true>({ max: MAX_KNOWN_PREFIXES });
    private watchController = new AbortController();
    private latestState: AgentState | undefined;
    private lastReportMs = Number.NEGATIVE_INFINITY;
    private sentSinceReport = 0;
    private slowStartFromMs = Number.NEGATIVE_INFINITY;
    private meanRoundTripMs: number | undefined;

    /** @param options - runtime, identity and rule */
    public constructor(options: AgentPeerOptions) {
        this.runtime = options.runtime;
        this.entry = options.entry;
        this.rule = options.rule;
        this.health = new PeerHealth(options.runtime.clock, options.dataCentreHealth);
        this.client = createClient(AgentService, options.runtime.network.transportTo(options.rule.agent));
        this.session = new AgentSession(this.client);
    }

    /** Latest reported state; undefined when it is older than its time to live. */
    public get state(): AgentState | undefined {
        return this.runtime.clock.nowMs() - this.lastReportMs <= STATE_TTL_MS ? this.latestState : undefined;
    }

    /** Number of this entry's calls that are in flight at the agent. */
    public get ownInFlight(): number {
        return this.health.running;
    }

    /** Estimated calls at the agent: latest report plus calls sent since, no fewer than this entry's own. */
    public get estimatedCalls(): number {
        const { state } = this;
        const reported = state ? state.running + state.queued + this.sentSinceReport : 0;
        return Math.max(reported, this.ownInFlight);
    }

    /** Moving average of the round-trip time, in milliseconds; undefined before the first sample. */
    public get roundTripMs(): number | undefined {
        return this.meanRoundTripMs;
    }

    /** Whether the server is cold and at its limit, so that calls queued there wait long. */
    public get isColdAndFull(): boolean {
        const { state } = this;
        return state?.warmth === Warmth.COLD && this.estimatedCalls >= state.limit;
    }

    /** Share of its limit up to which the server should be loaded: below 1 during slow start. */
    public get slowStartShare(): number {
        const share = SLOW_START_MIN_SHARE
            + (this.runtime.clock.nowMs() - this.slowStartFromMs) / SLOW_START_MS;
        return Math.min(1, share);
    }

    /** Begins slow start, after the server has returned to service. */
    public beginSlowStart(): void {
        this.slowStartFromMs = this.runtime.clock.nowMs();
    }

    /**
     * Tells whether the server has probably cached a prefix.
     *
     * @param prefixKey - key of the prefix
     * @returns true when a report or a request of this entry indicates it
     */
    public hasPrefix(prefixKey: string): boolean {
        return this.knownPrefixes.has(prefixKey);
    }

    /**
     * Records that the server has computed a prefix.
     *
     * @param prefixKey - key of the prefix
     */
    public recordPrefix(prefixKey: string): void {
        this.knownPrefixes.set(prefixKey, true);
    }

    /**
     * Begins tracking an attempt that is about to be sent.
     *
     * @returns handle of the attempt
     */
    public beginAttempt(): TrackedAttempt {
        this.sentSinceReport++;
        return this.health.begin();
    }

    /**
     * Adds a sample to the moving average of the round-trip time.
     *
     * @param roundTripMs - sample, in milliseconds
     */
    public recordRoundTrip(roundTripMs: number): void {
        const meanMs = this.meanRoundTripMs ?? roundTripMs;
        this.meanRoundTripMs = meanMs + ROUND_TRIP_SMOOTHING * (Math.max(0, roundTripMs) - meanMs);
    }

    /** Watches the agent's state until the peer is disposed. */
    public async watch(): Promise<void> {
        const { signal } = this.disposeController;
        while (!signal.aborted) {
            this.watchController = new AbortController();
            await this.watchOnce(AbortSignal.any([signal, this.watchController.signal]));
            this.latestState = undefined;
            if (!this.watchController.signal.aborted) {
                const delayMs = RECONNECT_DELAY_MS * (0.5 + this.runtime.random.nextFloat());
                await sleep(this.runtime.clock, delayMs, signal).catch(() => {});
            }
        }
    }

    /** Discards the state and reopens the watch; reports in transit on the old watch are ignored. */
    public invalidateState(): void {
        this.latestState = undefined;
        this.lastReportMs = Number.NEGATIVE_INFINITY;
        this.watchController.abort();
    }

    /** Stops the watch and closes the session. */
    public [Symbol.dispose](): void {
        this.disposeController.abort();
        this.session[Symbol.dispose]();
    }

    private async watchOnce(signal: AbortSignal): Promise<void> {
        try {
            const request = { entry: this.entry, periodMs: REPORT_PERIOD_MS };
            for await (const state of this.client.watchState(request, { signal })) {
                if (signal.aborted) {
                    return;
                }
                this.applyReport(state);
            }
        }
        catch (error) {
            if (!signal.aborted) {
                this.runtime.events.emit(agentLost, { server: this.rule.name, error: errorMessage(error) });
            }
        }
    }

    private applyReport(state: AgentState): void {
        const nowMs = this.runtime.clock.nowMs();
        if (this.latestState?.incarnation !== state.incarnation) {
            this.runtime.events.emit(agentFound, { server: state.server, incarnation: state.incarnation });
            this.knownPrefixes.clear();
        }
        state.cachedPrefixes.forEach(prefix => this.knownPrefixes.set(prefixKeyOf(prefix), true));
        state.evictedPrefixes.forEach(prefix => this.knownPrefixes.delete(prefixKeyOf(prefix)));
        this.latestState = state;
        this.lastReportMs = nowMs;
        this.sentSinceReport = 0;
        this.health.recordReceived();
    }
}
