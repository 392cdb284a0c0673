/**
 * Startup of a process: before it serves, it asks several peers in several data centres for their
 * configuration.
 *
 * @packageDocumentation
 */

import {
    type Address,
    errorMessage,
    type InstanceId,
    isFaultSeeded,
    type Runtime,
    shuffled,
    sleep,
    timeoutSignal,
} from "@magnolialock/kernel";
import type { Platform } from "../../types/platform.ts";
import type { ConfigurationStore } from "../configurationStore.ts";
import { fetchFailed, joined, platformUnreachable } from "../controlEvents.ts";
import type { Membership } from "../membership/membership.ts";
import { randomSample } from "../membership/randomSample.ts";
import type { ContentExchange } from "./contentExchange.ts";
import type { GossipTarget } from "./gossipSocket.ts";
import type { Prober, ProbeReply } from "./prober.ts";

/** Options of {@link joinFleet}. */
export interface JoinFleetOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Platform, for its instance list. */
    readonly platform: Platform | undefined;
    /** Addresses of seed processes from the settings. */
    readonly seeds: readonly Address[];
    /** Configuration in force. */
    readonly store: ConfigurationStore;
    /** Membership of the fleet. */
    readonly membership: Membership;
    /** Sends probes. */
    readonly prober: Prober;
    /** Fetches contents from peers. */
    readonly exchange: ContentExchange;
    /** Cancels the join. */
    readonly signal: AbortSignal;
}

/**
 * Number of peers with a configuration that must answer before the process serves, if that many can be found.
 */
const MIN_READY_PEERS = 3;
/**
 * Number of peers that must answer without a configuration, and none with one, before the whole fleet is
 * assumed to be starting.
 */
const COLD_START_UNREADY_PEERS = 24;
/** Number of peers that are probed concurrently. */
const BATCH_SIZE = 6;
/** Maximum number of peers that are probed in one pass. */
const MAX_PASS_TARGETS = 48;
/** Maximum number of listed processes of each other data centre in one pass. */
const MAX_TARGETS_PER_DATA_CENTRE = 8;
/** Timeout of one probe, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;
/** Timeout of the request for the platform's instance list, in milliseconds. */
const LIST_TIMEOUT_MS = 2_000;
/**
 * Time after which the join ends although no known peer answered or the newest configuration could not be
 * fetched, in milliseconds.
 */
const ISOLATION_TIMEOUT_MS = 15_000;
/** First pass in which peers may not refuse a full content on the ground that they have recently sent one. */
const FULL_CONTENT_FROM_PASS = 3;
/** Delay between two passes over the known peers, in milliseconds. */
const PASS_INTERVAL_MS = 300;

/** Interleaves the groups round-robin, so that the first batch covers several data centres. */
const interleave = (groups: readonly (readonly GossipTarget[])[]): GossipTarget[] => {
    const longest = Math.max(0, ...groups.map(group => group.length));
    return Array.from({ length: longest }, (_, index) => groups.map(group => group[index]))
        .flat()
        .filter(target => target !== undefined);
};

const readInstanceList = async (
    { runtime, platform, membership, signal }: JoinFleetOptions,
): Promise<void> => {
    if (!platform) {
        return;
    }
    using deadline = timeoutSignal(runtime.clock, LIST_TIMEOUT_MS, signal);
    try {
        const published = await platform.watchInstances(undefined, 0, deadline.signal);
        membership.applyInstanceList(published?.instances ?? []);
    }
    catch (error) {
        runtime.events.emit(platformUnreachable, { what: "instances", error: errorMessage(error) });
    }
};

const listTargets = ({ runtime, seeds, membership }: JoinFleetOptions): GossipTarget[] => {
    const seedTargets = seeds
        .filter(address => address !== membership.self.address)
        .map((address): GossipTarget => ({ address }));
    return interleave([
        shuffled(runtime.random, seedTargets),
        randomSample(runtime.random, membership.reachablePeers(), MAX_PASS_TARGETS),
        ...shuffled(runtime.random, membership.otherDataCentreNames())
            .map(dataCentre => membership.sampleListed(dataCentre, MAX_TARGETS_PER_DATA_CENTRE)),
    ]).slice(0, MAX_PASS_TARGETS);
};

/** Probes peers until enough have answered; each pass probes a sample of the known peers once. */
class PeerSurvey {
    public readonly ready = new Map<InstanceId, ProbeReply>();
    private readonly unready = new Set<InstanceId>();
    private requiredReady = MIN_READY_PEERS;

    public constructor(private readonly options: JoinFleetOptions) {}

    /** Whether enough peers have answered. */
    public get isSufficient(): boolean {
        return this.ready.size >= this.requiredReady
            || (this.ready.size === 0 && this.unready.size >= COLD_START_UNREADY_PEERS);
    }

    /** Whether any peer has answered. */
    public get hasAnswers(): boolean {
        return this.ready.size + this.unready.size > 0;
    }

    /** Requires more peers, because the ones found so far refused or did not answer. */
    public raiseRequiredReady(): void {
        this.requiredReady += MIN_READY_PEERS;
    }

    public async probeTargets(targets: readonly GossipTarget[]): Promise<void> {
        for (let start = 0; start < targets.length && !this.isSufficient; start += BATCH_SIZE) {
            const batch = targets.slice(start, start + BATCH_SIZE);
            const wantsMembers = !this.hasAnswers;
            const replies = await Promise.all(
                batch.map(target => this.options.prober.probe(target, ANSWER_TIMEOUT_MS, wantsMembers)),
            );
            for (const reply of replies) {
                this.recordReply(reply);
            }
        }
    }

    private recordReply(reply: ProbeReply | undefined): void {
        if (!reply) {
            return;
        }
        const { sender, digest } = reply;
        if (digest.revision > 0 || digest.rejectedRevision > 0) {
            this.unready.delete(sender.name);
            this.ready.set(sender.name, reply);
            return;
        }
        this.unready.add(sender.name);
    }
}

const fetchHighestRevision = async (
    options: JoinFleetOptions,
    replies: readonly ProbeReply[],
    mayRefuse: boolean,
): Promise<boolean> => {
    const { exchange, runtime, signal, store } = options;
    const highestRevision = Math.max(0, ...replies.map(({ digest }) => digest.revision));
    if (highestRevision === 0) {
        return true;
    }
    const sources = shuffled(
        runtime.random,
        replies.filter(({ digest }) => digest.revision === highestRevision),
    );
    for (const { sender } of sources) {
        try {
            await exchange.fetch(sender.address, sender.name, signal, mayRefuse);
        }
        catch (error) {
            runtime.events.emit(fetchFailed, { peer: sender.name, error: errorMessage(error) });
        }
        if ((store.current?.revision ?? 0) >= highestRevision) {
            return true;
        }
    }
    return false;
};

/**
 * Asks peers for their configuration and adopts the highest revision among them.
 *
 * @param options - platform, seeds and components of the control plane
 */
export const joinFleet = async (options: JoinFleetOptions): Promise<void> => {
    const { runtime, signal } = options;
    if (isFaultSeeded("control.serve-before-asking-peers")) {
        return;
    }
    const startMs = runtime.clock.nowMs();
    const survey = new PeerSurvey(options);
    await readInstanceList(options);
    for (let pass = 1; !signal.aborted; pass++) {
        const targets = listTargets(options);
        await survey.probeTargets(targets);
        const hasSurveyResult = targets.length === 0 || survey.hasAnswers;
        if (
            hasSurveyResult
            && await fetchHighestRevision(options, [...survey.ready.values()], pass < FULL_CONTENT_FROM_PASS)
        ) {
            break;
        }
        if (runtime.clock.nowMs() - startMs >= ISOLATION_TIMEOUT_MS) {
            break;
        }
        survey.raiseRequiredReady();
        await sleep(runtime.clock, PASS_INTERVAL_MS, signal).catch(() => {});
    }
    runtime.events.emit(joined, {
        readyPeers: survey.ready.size,
        revision: options.store.current?.revision ?? 0,
        durationMs: Math.round(runtime.clock.nowMs() - startMs),
    });
};
