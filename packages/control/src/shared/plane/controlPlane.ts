/**
 * Control plane of one process: membership of the fleet and distribution of the configuration.
 *
 * @packageDocumentation
 */

import {
    type Address,
    PauseDetector,
    ResourceScope,
    type Runtime,
    type ServiceBinding,
    shuffled,
    sleep,
} from "@magnolialock/kernel";
import type { MemberIdentity } from "../../types/member.ts";
import type { Platform } from "../../types/platform.ts";
import { ConfigurationStore } from "../configurationStore.ts";
import { pauseNoticed } from "../controlEvents.ts";
import { FailureDetector } from "../membership/failureDetector.ts";
import { Membership } from "../membership/membership.ts";
import { randomSample } from "../membership/randomSample.ts";
import { createMessageAuthenticator } from "../messageAuthenticator.ts";
import { ContentExchange } from "./contentExchange.ts";
import { FreshnessTracker } from "./freshnessTracker.ts";
import type { Digest } from "./gossipMessages.ts";
import { GossipSocket, type GossipTarget, type ReceivedGossip } from "./gossipSocket.ts";
import { joinFleet } from "./joinFleet.ts";
import { Prober } from "./prober.ts";
import { RevisionDisseminator } from "./revisionDisseminator.ts";
import { WatcherSelection } from "./watcherSelection.ts";
import { watchPlatformInstances, watchPlatformRules } from "./watchPlatform.ts";

/** Options of {@link startControlPlane}. */
export interface ControlPlaneOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Identity of this process; it receives datagrams at its address. */
    readonly self: MemberIdentity;
    /** Secret key shared by all processes of the fleet. */
    readonly sharedKey: string;
    /** The platform; if undefined, the configuration comes from peers only. */
    readonly platform?: Platform | undefined;
    /** Addresses of seed processes to contact at startup. */
    readonly seeds?: readonly Address[];
    /** Configuration in force; a new store by default. */
    readonly store?: ConfigurationStore;
}

/** A running control plane. */
export interface ControlPlane extends AsyncDisposable {
    /** Configuration in force. */
    readonly store: ConfigurationStore;
    /** Membership of the fleet. */
    readonly membership: Membership;
    /** RPC services to serve on the process's address. */
    readonly services: readonly ServiceBinding[];
    /** Resolves when peers have been asked and the process may serve. */
    readonly joined: Promise<void>;
    /** Announces to other processes that this one is leaving. */
    leave(): Promise<void>;
}

/** Interval of the check for a pause of this process, in milliseconds. */
const PAUSE_CHECK_INTERVAL_MS = 500;
/** Minimum gap that counts as a pause, in milliseconds. */
const PAUSE_THRESHOLD_MS = 1_500;
/** Number of peers that are asked in each round after a pause. */
const PEERS_AFTER_PAUSE = 4;
/** Maximum number of rounds after a pause. */
const ROUNDS_AFTER_PAUSE = 5;
const ANSWER_TIMEOUT_MS = 300;
/** Delay before the leave announcement is repeated, in milliseconds. */
const LEAVE_REPEAT_DELAY_MS = 100;

/** Components of the control plane of one process, and their wiring. */
class ControlPlaneTasks {
    public readonly store: ConfigurationStore;
    public readonly membership: Membership;
    public readonly exchange: ContentExchange;
    public readonly socket: GossipSocket;
    private readonly freshness: FreshnessTracker;
    private readonly prober: Prober;
    private readonly disseminator: RevisionDisseminator;
    private readonly failureDetector: FailureDetector;
    private readonly watcherSelection: WatcherSelection;
    private readonly pauseDetector: PauseDetector;
    private platformAnsweredAtMs = Number.NEGATIVE_INFINITY;
    private isJoined = false;

    public constructor(private readonly options: ControlPlaneOptions, private readonly signal: AbortSignal) {
        const { runtime, self } = options;
        const { clock, random, events } = runtime;
        const authenticator = createMessageAuthenticator(options.sharedKey);
        const store = options.store ?? new ConfigurationStore({ events });
        const membership = new Membership({ clock, random, events, self });
        this.store = store;
        this.membership = membership;
        this.freshness = new FreshnessTracker({
            clock,
            store,
            peerCount: () => membership.reachablePeers().length,
        });
        this.exchange = new ContentExchange({ runtime, authenticator, store });
        this.socket = new GossipSocket({
            runtime,
            authenticator,
            membership,
            digest: () => this.digest,
            onGossip: gossip => this.handleGossip(gossip),
        });
        const { socket, exchange } = this;
        this.prober = new Prober({ runtime, socket, freshness: this.freshness });
        this.disseminator = new RevisionDisseminator({
            runtime,
            store,
            membership,
            socket,
            exchange,
            signal,
        });
        this.watcherSelection = new WatcherSelection({
            clock,
            random,
            membership,
            platformAgeMs: () => this.freshness.platformAgeMs,
        });
        this.pauseDetector = new PauseDetector({
            clock,
            tickMs: PAUSE_CHECK_INTERVAL_MS,
            thresholdMs: PAUSE_THRESHOLD_MS,
            onPause: gapMs => this.handlePause(gapMs),
        });
        this.failureDetector = new FailureDetector({
            runtime,
            membership,
            socket,
            signal,
            prober: this.prober,
            seeds: options.seeds ?? [],
            checkPause: () => this.pauseDetector.check(),
            platformAnsweredAtMs: () => this.platformAnsweredAtMs,
        });
    }

    /** Joins the fleet, then starts failure detection and the platform watches. */
    public async run(): Promise<void> {
        const { store, membership, prober, exchange, signal } = this;
        const { runtime, platform, seeds = [] } = this.options;
        await this.socket.open(signal);
        await joinFleet({ runtime, platform, seeds, store, membership, prober, exchange, signal });
        this.isJoined = true;
        void this.failureDetector.run();
        if (platform && !signal.aborted) {
            this.watchPlatform(platform);
        }
    }

    /**
     * Announces the leave, twice, to all peers of the own data centre and one contact in each other data
     * centre.
     */
    public async leave(): Promise<void> {
        this.membership.beginLeaving();
        this.announceLeaving();
        await sleep(this.options.runtime.clock, LEAVE_REPEAT_DELAY_MS);
        this.announceLeaving();
    }

    public dispose(): void {
        this.pauseDetector[Symbol.dispose]();
        this.disseminator[Symbol.dispose]();
        this.watcherSelection[Symbol.dispose]();
        this.exchange[Symbol.dispose]();
        this.prober.cancelPending();
    }

    private get digest(): Digest {
        const { current, rejected } = this.store;
        return {
            revision: current?.revision ?? 0,
            contentHash: current?.contentHash ?? "",
            rejectedRevision: rejected?.revision ?? 0,
            platformAgeMs: this.freshness.platformAgeMs,
        };
    }

    private watchPlatform(platform: Platform): void {
        const { store, membership, signal } = this;
        const common = {
            platform,
            signal,
            runtime: this.options.runtime,
            onAnswered: (askedAtMs: number): void => {
                this.platformAnsweredAtMs = Math.max(this.platformAnsweredAtMs, askedAtMs);
            },
        };
        void watchPlatformRules({
            ...common,
            store,
            isReadDue: () => this.watcherSelection.isReadDue(),
            onConfirmed: askedAtMs => this.freshness.recordPlatformConfirmation(askedAtMs),
        });
        void watchPlatformInstances({
            ...common,
            membership,
            isReadDue: () => this.watcherSelection.isWatcher,
        });
    }

    private handleGossip(gossip: ReceivedGossip): void {
        this.prober.handleGossip(gossip);
        if (!this.isJoined) {
            return;
        }
        this.disseminator.handleDigest(gossip.sender, gossip.digest);
        if (gossip.kind.case === "answer" && this.disseminator.isBehind(gossip.digest)) {
            this.socket.send(gossip.sender, { case: "announcement", value: {} });
        }
    }

    private handlePause(gapMs: number): void {
        this.options.runtime.events.emit(pauseNoticed, { gapMs: Math.round(gapMs) });
        this.failureDetector.handlePause();
        void this.confirmAfterPause(this.options.runtime.clock.nowMs());
    }

    /**
     * Asks peers until the configuration is confirmed at or after the end of the pause, or the rounds are
     * used up.
     */
    private async confirmAfterPause(resumedAtMs: number): Promise<void> {
        for (let round = 0; round < ROUNDS_AFTER_PAUSE && !this.signal.aborted; round++) {
            const targets = this.samplePeers(PEERS_AFTER_PAUSE);
            await Promise.all(targets.map(target => this.prober.probe(target, ANSWER_TIMEOUT_MS)));
            if ((this.store.confirmedAtMs ?? Number.NEGATIVE_INFINITY) >= resumedAtMs) {
                return;
            }
            await sleep(this.options.runtime.clock, ANSWER_TIMEOUT_MS, this.signal).catch(() => {});
        }
    }

    private samplePeers(count: number): GossipTarget[] {
        const local = randomSample(this.options.runtime.random, this.membership.reachablePeers(), count - 1);
        return [...local, ...this.sampleRemoteContacts().slice(0, 1)];
    }

    private sampleRemoteContacts(): MemberIdentity[] {
        const { membership } = this;
        return shuffled(this.options.runtime.random, membership.otherDataCentreNames())
            .map(name => membership.sampleContacts(name)[0])
            .filter(contact => contact !== undefined);
    }

    private announceLeaving(): void {
        for (const peer of [...this.membership.reachablePeers(), ...this.sampleRemoteContacts()]) {
            this.socket.send(peer, { case: "announcement", value: {} });
        }
    }
}

/**
 * Starts the control plane of a process.
 *
 * @param options - runtime, identity, key, platform and seeds
 * @returns the control plane, which is still joining the fleet
 */
export const startControlPlane = (options: ControlPlaneOptions): ControlPlane => {
    const scope = new ResourceScope();
    const stopping = new AbortController();
    const tasks = new ControlPlaneTasks(options, stopping.signal);
    scope.use(tasks.socket);
    scope.defer(() => tasks.dispose());
    scope.defer(() => stopping.abort());
    return {
        store: tasks.store,
        membership: tasks.membership,
        services: [tasks.exchange.service],
        joined: tasks.run(),
        leave: () => tasks.leave(),
        [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose](),
    };
};
