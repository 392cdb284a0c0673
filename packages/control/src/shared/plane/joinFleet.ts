/**
 * Start of a process: it asks several peers of several data centres for their configuration before it serves.
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
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Platform, for its list of instances. */
    readonly platform: Platform | undefined;
    /** Addresses of processes from the settings. */
    readonly seeds: readonly Address[];
    /** Configuration in force. */
    readonly store: ConfigurationStore;
    /** Who is in the fleet. */
    readonly membership: Membership;
    /** Asks processes. */
    readonly prober: Prober;
    /** Fetches contents. */
    readonly exchange: ContentExchange;
    /** Gives up. */
    readonly signal: AbortSignal;
}

/** Peers with a configuration that are asked before the process serves, where that many can be found. */
const MIN_READY_PEERS = 3;
/** Peers without a configuration after which the fleet is taken to be starting as a whole. */
const COLD_START_UNREADY_PEERS = 24;
/** Peers that are asked at once. */
const BATCH_SIZE = 6;
/** Peers that one pass asks at most. */
const MAX_PASS_TARGETS = 48;
/** Peers of another data centre among them. */
const MAX_TARGETS_PER_DATA_CENTRE = 8;
/** Longest wait for one answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;
/** Longest wait for the platform's list, in milliseconds. */
const LIST_TIMEOUT_MS = 2_000;
/** Time after which a process that reaches none of the known peers goes on without them, in milliseconds. */
const ISOLATION_TIMEOUT_MS = 15_000;
/** From this pass on, peers send a whole content although they have just sent one. */
const FULL_CONTENT_FROM_PASS = 3;
/** Time between two passes over the known peers, in milliseconds. */
const PASS_INTERVAL_MS = 300;

/** Takes one of each data centre in turn, so that the first batch covers several. */
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

/** Asks peers until enough have answered; each pass goes over some of the known peers once. */
class PeerSurvey {
    public readonly ready = new Map<InstanceId, ProbeReply>();
    private readonly unready = new Set<InstanceId>();
    private requiredReady = MIN_READY_PEERS;

    public constructor(private readonly options: JoinFleetOptions) {}

    /** Whether the answers suffice to go on. */
    public get isSufficient(): boolean {
        return this.ready.size >= this.requiredReady
            || (this.ready.size === 0 && this.unready.size >= COLD_START_UNREADY_PEERS);
    }

    /** Whether anybody answered. */
    public get hasAnswers(): boolean {
        return this.ready.size + this.unready.size > 0;
    }

    /** Asks for more peers, when those that were found are busy or silent. */
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
 * Asks peers and takes over the highest configuration among them.
 *
 * @param options - platform, seeds and the parts of the plane
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
        const isSettled = targets.length === 0 || survey.hasAnswers;
        if (
            isSettled
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
