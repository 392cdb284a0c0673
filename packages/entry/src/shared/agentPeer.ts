/**
 * The entry's view of one agent. One task for each peer watches the agent's state.
 *
 * @packageDocumentation
 */

import { type Client, createClient } from "@connectrpc/connect";
import { errorMessage, type Runtime, sleep } from "@magnolialock/kernel";
import { AgentService, type AgentState, Warmth } from "@magnolialock/protocol";
import type { ServerRule } from "@magnolialock/rules";
import { LRUCache } from "lru-cache";
import { AgentSession } from "./agentSession.ts";
import type { DataCentreTraffic } from "./dataCentreTraffic.ts";
import { agentFound, agentLost } from "./entryEvents.ts";
import { PeerHealth, type TrackedAttempt } from "./peerHealth.ts";
import { prefixKeyOf } from "./prefixKey.ts";

/** Options of an {@link AgentPeer}. */
export interface AgentPeerOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Name of the entry. */
    readonly entry: string;
    /** Rule of the backend server. */
    readonly rule: ServerRule;
    /** Traffic to the data centre of the backend server if it is another one. */
    readonly traffic?: DataCentreTraffic | undefined;
}

const REPORT_PERIOD_MS = 500;
const RECONNECT_DELAY_MS = 300;
/** A state older than this is no evidence, in milliseconds. */
const STATE_LIFETIME_MS = 2_000;
/** Time in which a returned server goes from the least to its whole share of new work, in milliseconds. */
const RAMP_MS = 5_000;
const RAMP_LEAST_SHARE = 0.2;
/** Weight of a new sample in the mean round trip. */
const ROUND_TRIP_WEIGHT = 0.2;
const MAX_KNOWN_PREFIXES = 512;

/** One agent as the entry knows it: lagging state and own calls. */
export class AgentPeer implements Disposable {
    /** Rule of the backend server; replaced when the configuration changes. */
    public rule: ServerRule;
    /** Calls to the agent. */
    public readonly client: Client<typeof AgentService>;
    /** Runs attempts at the agent. */
    public readonly session: AgentSession;
    /** What own traffic says about the agent. */
    public readonly health: PeerHealth;
    private readonly runtime: Runtime;
    private readonly entry: string;
    private readonly stopping = new AbortController();
    private readonly prefixes = new LRUCache<string, true>({ max: MAX_KNOWN_PREFIXES });
    private watching = new AbortController();
    private newest: AgentState | undefined;
    private heardMs = Number.NEGATIVE_INFINITY;
    private sentSinceReport = 0;
    private rampFromMs = Number.NEGATIVE_INFINITY;
    private meanRoundTripMs: number | undefined;

    /** @param options - surroundings and rule */
    public constructor(options: AgentPeerOptions) {
        this.runtime = options.runtime;
        this.entry = options.entry;
        this.rule = options.rule;
        this.health = new PeerHealth(options.runtime.clock, options.traffic);
        this.client = createClient(AgentService, options.runtime.network.transportTo(options.rule.agent));
        this.session = new AgentSession(this.client);
    }

    /** Newest state while it is fresh. */
    public get state(): AgentState | undefined {
        return this.runtime.clock.nowMs() - this.heardMs <= STATE_LIFETIME_MS ? this.newest : undefined;
    }

    /** Calls of this entry that run there. */
    public get ownRunning(): number {
        return this.health.running;
    }

    /** Calls there by the newest report and by what this entry has sent since. */
    public get estimatedCalls(): number {
        const { state } = this;
        const reported = state ? state.running + state.queued + this.sentSinceReport : 0;
        return Math.max(reported, this.ownRunning);
    }

    /** Mean time that a message to the agent and back takes, in milliseconds; undefined if none was measured. */
    public get roundTripMs(): number | undefined {
        return this.meanRoundTripMs;
    }

    /** Whether its server is cold and has as many calls as it bears: what waits there waits long. */
    public get isColdAndFull(): boolean {
        const { state } = this;
        return state?.warmth === Warmth.COLD && this.estimatedCalls >= state.limit;
    }

    /** Share of its limit that the server should get: less than 1 for some time after its return. */
    public get rampShare(): number {
        const share = RAMP_LEAST_SHARE + (this.runtime.clock.nowMs() - this.rampFromMs) / RAMP_MS;
        return Math.min(1, share);
    }

    /** Lets the share of new work grow from little, for the server has just come back. */
    public beginRamp(): void {
        this.rampFromMs = this.runtime.clock.nowMs();
    }

    /**
     * Tells whether the server has probably computed a prefix before.
     *
     * @param prefixKey - key of the prefix
     * @returns true when a report or an own request says so
     */
    public hasPrefix(prefixKey: string): boolean {
        return this.prefixes.has(prefixKey);
    }

    /**
     * Notes that the server has computed a prefix.
     *
     * @param prefixKey - key of the prefix
     */
    public notePrefix(prefixKey: string): void {
        this.prefixes.set(prefixKey, true);
    }

    /**
     * Counts an attempt that is about to be sent.
     *
     * @returns its handle
     */
    public beginAttempt(): TrackedAttempt {
        this.sentSinceReport++;
        return this.health.begin();
    }

    /**
     * Measures the way to the agent and back.
     *
     * @param roundTripMs - a sample, in milliseconds
     */
    public noteRoundTrip(roundTripMs: number): void {
        const meanMs = this.meanRoundTripMs ?? roundTripMs;
        this.meanRoundTripMs = meanMs + ROUND_TRIP_WEIGHT * (Math.max(0, roundTripMs) - meanMs);
    }

    /** Watches the agent's state until the peer is disposed. */
    public async watch(): Promise<void> {
        const { signal } = this.stopping;
        while (!signal.aborted) {
            this.watching = new AbortController();
            await this.watchOnce(AbortSignal.any([signal, this.watching.signal]));
            this.newest = undefined;
            if (!this.watching.signal.aborted) {
                const delayMs = RECONNECT_DELAY_MS * (0.5 + this.runtime.random.nextFloat());
                await sleep(this.runtime.clock, delayMs, signal).catch(() => {});
            }
        }
    }

    /** Forgets the state and asks for it again; reports on their way are not taken. */
    public renew(): void {
        this.newest = undefined;
        this.heardMs = Number.NEGATIVE_INFINITY;
        this.watching.abort();
    }

    /** Ends the watch. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
        this.session[Symbol.dispose]();
    }

    private async watchOnce(signal: AbortSignal): Promise<void> {
        try {
            const request = { entry: this.entry, periodMs: REPORT_PERIOD_MS };
            for await (const state of this.client.watchState(request, { signal })) {
                if (signal.aborted) {
                    return;
                }
                this.observe(state);
            }
        }
        catch (error) {
            if (!signal.aborted) {
                this.runtime.events.emit(agentLost, { server: this.rule.name, error: errorMessage(error) });
            }
        }
    }

    private observe(state: AgentState): void {
        const nowMs = this.runtime.clock.nowMs();
        if (this.newest?.incarnation !== state.incarnation) {
            this.runtime.events.emit(agentFound, { server: state.server, incarnation: state.incarnation });
            this.prefixes.clear();
        }
        state.cachedPrefixes.forEach(prefix => this.prefixes.set(prefixKeyOf(prefix), true));
        state.evictedPrefixes.forEach(prefix => this.prefixes.delete(prefixKeyOf(prefix)));
        this.newest = state;
        this.heardMs = nowMs;
        this.sentSinceReport = 0;
        this.health.noteHeard();
    }
}
