/**
 * One round of a map switch, led by the agent of one rank and completed by the agent of another.
 *
 * The first pass on the new map is held at one rank before any rank is armed. It is released only when every
 * rank has confirmed that it is armed, or when every rank is known not to be armed. So no pass starts in
 * between, whichever agent crashes: only the agent of the rank that holds the pass can release it, and after
 * a restart that agent first disarms all ranks.
 *
 * @packageDocumentation
 */

import { type Clock, errorMessage, type EventLog, isFaultSeeded, sleep } from "@magnolialock/kernel";
import type {
    Ballot,
    HoldCall,
    HoldReply,
    RankStatus,
    RoundCall,
    RoundReply,
} from "../types/rankMessages.ts";
import type {
    ExpertPlacement,
    FencingToken,
    MapVersion,
    OrderResult,
    PassNumber,
    RankReport,
} from "../types/rankServer.ts";
import { hashPlacement, holderFor } from "./ballots.ts";
import { mapSwitched, orderUnanswered, rankPeerFailed, roundAborted } from "./rankEvents.ts";
import type { RankMember, ReleaseResult } from "./rankMember.ts";

/** Client of the agent of one rank; the caller's own rank has one, too. */
export interface RankPeer {
    /** Rank that the agent controls. */
    readonly rank: number;
    /** Reads all data that a leader plans with; rejects when the agent does not answer in time. */
    status(): Promise<RankStatus>;
    /** Reads only the state of the agent's rank; rejects when the agent does not answer in time. */
    report(): Promise<RankReport>;
    /**
     * Sends a call of a round; rejects when the agent does not answer in time.
     *
     * @param call - the call
     */
    sendCall(call: RoundCall): Promise<RoundReply>;
    /**
     * Sends a call about a held pass; rejects when the agent does not answer in time.
     *
     * @param call - the call
     */
    sendHoldCall(call: HoldCall): Promise<HoldReply>;
    /**
     * Sends the order to hold a pass directly to the rank's server, bypassing its agent.
     *
     * @param order - epoch of the group, the pass and the token that the agent granted
     */
    hold(order: HoldOrder): Promise<OrderResult>;
}

/** Order to hold a pass at another rank. */
export interface HoldOrder {
    /** Epoch of the group. */
    readonly epoch: number;
    /** Pass to hold. */
    readonly pass: PassNumber;
    /** Token that the rank's agent granted. */
    readonly token: FencingToken;
}

/** Options of {@link runSwitchRound}. */
export interface SwitchRoundOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Rank of the leader. */
    readonly rank: number;
    /** The agents of all ranks, the leader's included. */
    readonly peers: readonly RankPeer[];
    /** Epoch of the group. */
    readonly epoch: number;
    /** Ballot of the round. */
    readonly ballot: Ballot;
    /** Version of the new map. */
    readonly version: MapVersion;
    /** The new map. */
    readonly placement: ExpertPlacement;
    /** Expected duration of the copies on an idle link, in milliseconds. */
    readonly copyMs: number;
    /** Passes between the current one and the first on the new map. */
    readonly leadPasses: number;
}

/** Result of a round that did not switch the map, as far as the caller knows. */
export interface FailedRound {
    readonly kind: "failed";
    /** Why the round was abandoned. */
    readonly reason: string;
}

/** Result of a round. */
export type RoundResult = FailedRound | {
    readonly kind: "switched";
    readonly pass: PassNumber;
    /** Time to hold the pass and arm all ranks, in milliseconds; undefined at the agent that only arms them. */
    readonly armMs?: number;
};

/** What the agent of the rank that holds the pass needs to complete or abandon a round. */
export interface RoundContext {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Controls the rank at which the pass is held. */
    readonly member: RankMember;
    /** Number of that rank. */
    readonly holder: number;
    /** The agents of all ranks. */
    readonly peers: readonly RankPeer[];
    /** Epoch of the group. */
    readonly epoch: number;
    /** Ballot of the round. */
    readonly ballot: Ballot;
    /** Version of the new map; undefined when the round began before the agent's last restart. */
    readonly version: MapVersion | undefined;
}

/** Time between two polls of the copies' progress, in milliseconds. */
const COPY_POLL_MS = 40;
/** Fraction of the copies' expected duration before the first poll: each poll calls all ranks. */
const FIRST_POLL_FRACTION = 0.8;
/**
 * The copies may take this factor of their duration on an idle link, plus a slack; then the round is
 * abandoned.
 */
const COPY_TIMEOUT_FACTOR = 3;
/** Slack of the copies' time limit, in milliseconds. */
const COPY_TIMEOUT_SLACK_MS = 1_500;
/**
 * Time between two attempts to disarm ranks or release the pass, in milliseconds: the group may be stalled
 * meanwhile.
 */
const DISARM_RETRY_MS = 25;

/** Attempts to hold the pass: when half of the orders are lost, fewer attempts would abandon most rounds. */
const MAX_HOLD_ATTEMPTS = 4;

const refusalForNoReply = (error: unknown): HoldReply => ({
    kind: "refused",
    reason: `the agent of the rank that holds the pass did not answer: ${errorMessage(error)}`,
});

type PeerReply = RoundReply | { readonly kind: "unanswered"; };

const callPeer = async (
    { events }: Pick<SwitchRoundOptions, "events">,
    peer: RankPeer,
    call: RoundCall,
): Promise<PeerReply> => {
    try {
        return await peer.sendCall(call);
    }
    catch (error) {
        events.emit(rankPeerFailed, { rank: peer.rank, call: call.kind, error: errorMessage(error) });
        return { kind: "unanswered" };
    }
};

const callAllPeers = (
    options: Pick<SwitchRoundOptions, "events" | "peers">,
    call: RoundCall,
): Promise<PeerReply[]> => Promise.all(options.peers.map(peer => callPeer(options, peer, call)));

const findFailure = (results: readonly PeerReply[], stage: string): FailedRound | undefined => {
    for (const result of results) {
        if (result.kind === "refused") {
            return { kind: "failed", reason: `${stage}: ${result.reason}` };
        }
        if (result.kind === "unanswered") {
            return { kind: "failed", reason: `${stage}: an agent did not answer` };
        }
    }
    return undefined;
};

/** Waits until all ranks have finished copying. */
const waitForCopies = async (options: SwitchRoundOptions): Promise<FailedRound | undefined> => {
    const { clock, copyMs, epoch, peers, version } = options;
    const deadlineMs = clock.nowMs() + copyMs * COPY_TIMEOUT_FACTOR + COPY_TIMEOUT_SLACK_MS;
    await sleep(clock, copyMs * FIRST_POLL_FRACTION);
    let pendingPeers = [...peers];
    while (pendingPeers.length > 0) {
        if (clock.nowMs() >= deadlineMs) {
            return { kind: "failed", reason: "the copies did not finish in time" };
        }
        await sleep(clock, COPY_POLL_MS);
        const states = await Promise.allSettled(pendingPeers.map(peer => peer.report()));
        for (const state of states) {
            if (state.status === "fulfilled" && state.value.group?.epoch !== epoch) {
                return { kind: "failed", reason: "the group has another epoch" };
            }
        }
        pendingPeers = pendingPeers.filter((_, index) => {
            const state = states[index];
            return state?.status !== "fulfilled" || state.value.preparedVersion !== version;
        });
    }
    return undefined;
};

/**
 * Disarms all ranks and then releases the held pass. Retries until all ranks have confirmed or the pass is no
 * longer held, as when the group has re-formed: releasing without a rank's confirmation could let that rank
 * start the pass on another map.
 *
 * @param options - the round
 * @param pass - the held pass
 * @param reason - why the round is abandoned
 */
export const disarmAndRelease = async (
    options: RoundContext,
    pass: PassNumber,
    reason: string,
): Promise<void> => {
    const { ballot, clock, epoch, events, holder, version } = options;
    const startMs = clock.nowMs();
    let pendingPeers = [...options.peers];
    const call: RoundCall = { kind: "disarm", ballot, epoch, pass, holder, version };
    while (pendingPeers.length > 0 && !isFaultSeeded("rank.release-before-all-confirm")) {
        const results = await Promise.all(
            pendingPeers.map(peer => callPeer(options, peer, call)),
        );
        pendingPeers = pendingPeers.filter((_, index) => results[index]?.kind !== "done");
        if (pendingPeers.length > 0) {
            if (!await isPossiblyHeld(options, pass)) {
                break;
            }
            await sleep(clock, DISARM_RETRY_MS);
        }
    }
    await releaseUntilDone(options, pass);
    events.emit(roundAborted, { epoch, pass, reason, tookMs: Math.round(clock.nowMs() - startMs) });
};

/**
 * Retries the release until the pass is known not to be held, or another agent has taken over the rank's
 * orders.
 */
const releaseUntilDone = async (options: RoundContext, pass: PassNumber): Promise<ReleaseResult> => {
    for (;;) {
        const result = await tryRelease(options.member, options.epoch, pass);
        if (result !== "held" || !await isPossiblyHeld(options, pass)) {
            return result;
        }
        await sleep(options.clock, DISARM_RETRY_MS);
    }
};

/**
 * If the rank cannot be read, the pass counts as held, as it may still be. A group that has re-formed holds
 * nothing.
 */
const isPossiblyHeld = async ({ epoch, member }: RoundContext, pass: PassNumber): Promise<boolean> => {
    try {
        const { group, heldPass } = await member.readReport();
        return group?.epoch === epoch && heldPass === pass;
    }
    catch {
        return true;
    }
};

/** Treats a failed call as "held": a rank whose state cannot be read may still hold the pass. */
const tryRelease = async (member: RankMember, epoch: number, pass: PassNumber): Promise<ReleaseResult> => {
    try {
        return await member.release(epoch, pass);
    }
    catch {
        return "held";
    }
};

/** Options of {@link armAndRelease}. */
export interface ArmOptions extends RoundContext {
    /** Version of the new map. */
    readonly version: MapVersion;
    /** Hash of its content. */
    readonly contentHash: string;
    /** The held pass, the first on the new map. */
    readonly pass: PassNumber;
}

/**
 * Arms all ranks for the pass that is held at the agent's own rank and releases the pass. If a rank cannot be
 * armed, disarms all of them before the release.
 *
 * @param options - the round
 * @returns result of the round, which holds no pass afterwards
 */
export const armAndRelease = async (options: ArmOptions): Promise<RoundResult> => {
    const { ballot, contentHash, epoch, pass, version } = options;
    const armed = await callAllPeers(options, { kind: "arm", ballot, epoch, version, contentHash, pass });
    const notArmed = findFailure(armed, "arm");
    if (notArmed) {
        await disarmAndRelease(options, pass, notArmed.reason);
        return notArmed;
    }
    return await releaseUntilDone(options, pass) === "overtaken"
        ? { kind: "failed", reason: "another agent has ended the round" }
        : { kind: "switched", pass };
};

/**
 * Holds the first pass on the new map at another rank. An unanswered order is sent again with a new token, as
 * half of the orders may be lost.
 */
const holdPass = async (
    { ballot, epoch, events, leadPasses }: SwitchRoundOptions,
    holder: RankPeer,
): Promise<PassNumber | FailedRound> => {
    for (let attempt = 0; attempt < MAX_HOLD_ATTEMPTS; attempt++) {
        const reply = await holder.sendHoldCall({ kind: "grant", ballot, epoch }).catch(refusalForNoReply);
        if (reply.kind !== "granted") {
            return {
                kind: "failed",
                reason: `grant: ${reply.kind === "refused" ? reply.reason : reply.kind}`,
            };
        }
        if (reply.heldPass !== undefined) {
            return reply.heldPass;
        }
        const pass = reply.pass + leadPasses as PassNumber;
        if (isFaultSeeded("rank.skip-hold")) {
            return pass;
        }
        const result = await holder.hold({ epoch, pass, token: reply.token });
        if (result === "accepted") {
            return pass;
        }
        if (result !== "unanswered") {
            return { kind: "failed", reason: `the pass could not be held: ${result}` };
        }
        events.emit(orderUnanswered, { order: "hold", epoch, token: reply.token, rank: holder.rank });
    }
    return { kind: "failed", reason: "the order to hold the pass was not answered" };
};

/**
 * Switches a group to a new map.
 *
 * @param options - the leader, the ranks and the map
 * @returns result of the round; a pass that is still held is released by the agent of the rank that holds it
 */
export const runSwitchRound = async (options: SwitchRoundOptions): Promise<RoundResult> => {
    const { ballot, clock, epoch, events, peers, placement, rank, version } = options;
    const holder = peers.find(peer => peer.rank === holderFor(rank, peers.length));
    if (!holder || holder.rank === rank) {
        return { kind: "failed", reason: "no other rank is available to hold the pass" };
    }
    const prepared = await callAllPeers(options, { kind: "prepare", ballot, epoch, version, placement });
    const notPrepared = findFailure(prepared, "prepare") ?? await waitForCopies(options);
    if (notPrepared) {
        return notPrepared;
    }
    const startMs = clock.nowMs();
    const pass = await holdPass(options, holder);
    if (typeof pass !== "number") {
        return pass;
    }
    const contentHash = hashPlacement(placement);
    const call: HoldCall = { kind: "finish", ballot, epoch, version, contentHash, pass };
    const reply = await holder.sendHoldCall(call).catch(refusalForNoReply);
    if (reply.kind !== "switched") {
        return { kind: "failed", reason: reply.kind === "refused" ? reply.reason : reply.kind };
    }
    const armMs = clock.nowMs() - startMs;
    events.emit(mapSwitched, { epoch, version, pass, heldMs: Math.round(armMs) });
    return { kind: "switched", pass, armMs };
};
