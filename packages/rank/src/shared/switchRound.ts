/**
 * One change of map, led by one rank's agent.
 *
 * The leader holds the first pass of the new map at its own rank before any rank is armed, and releases it only when
 * every rank has confirmed that it is armed, or when every rank has confirmed that it is not. So no pass begins in
 * between, whoever dies: the hold can be released by this round alone, or by the next life of the leader's agent, which
 * first has all ranks disarmed.
 *
 * @packageDocumentation
 */

import { type Clock, errorMessage, type EventLog, isFaultSeeded, sleep } from "@magnolialock/kernel";
import type { Ballot, RankStatus, RoundCall, RoundReply } from "../types/rankMessages.ts";
import type { ExpertPlacement, MapVersion, PassNumber, RankReport } from "../types/rankServer.ts";
import { hashPlacement } from "./ballots.ts";
import { mapSwitched, rankPeerFailed, roundAborted } from "./rankEvents.ts";
import type { RankMember, ReleaseResult } from "./rankMember.ts";

/** The agent of one rank, the own one included. */
export interface RankPeer {
    /** Rank that it stands beside. */
    readonly rank: number;
    /** Asks for everything that a leader plans with; rejects when the agent does not answer in time. */
    status(): Promise<RankStatus>;
    /** Asks for the state of its rank alone; rejects when the agent does not answer in time. */
    report(): Promise<RankReport>;
    /**
     * Sends a call of a round; rejects when the agent does not answer in time.
     *
     * @param call - the call
     */
    send(call: RoundCall): Promise<RoundReply>;
}

/** Options of {@link runSwitchRound}. */
export interface SwitchRoundOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** The leader's own rank. */
    readonly member: RankMember;
    /** The agents of all ranks, the leader's included. */
    readonly peers: readonly RankPeer[];
    /** Life of the group. */
    readonly epoch: number;
    /** Number of the round. */
    readonly ballot: Ballot;
    /** Number of the new map. */
    readonly version: MapVersion;
    /** The new map. */
    readonly placement: ExpertPlacement;
    /** Time that the copies take on an idle link, in milliseconds. */
    readonly copyMs: number;
}

/** How a round ended. */
export type RoundResult =
    | { readonly kind: "switched"; readonly pass: PassNumber; }
    | { readonly kind: "failed"; readonly reason: string; readonly promised: Ballot | undefined; };

/**
 * Passes between now and the first one on the new map: enough for the calls to all ranks while the group goes on, few
 * enough that the map is still right.
 */
const LEAD_PASSES = 3;
/** Time between looks at copies, in milliseconds. */
const COPY_POLL_MS = 40;
/** Share of the copies' time after which it is worth looking: each look asks all ranks. */
const EARLY_LOOK_SHARE = 0.8;
/** Factor and constant by which copies may take longer than the link needs, before the round is given up. */
const COPY_TIME_FACTOR = 3;
const COPY_TIME_SLACK_MS = 1_500;
/** Time between tries to disarm a rank, in milliseconds: the group may stand still meanwhile. */
const DISARM_RETRY_MS = 25;

type SendResult = RoundReply | { readonly kind: "silent"; };

const send = async (
    { events }: Pick<SwitchRoundOptions, "events">,
    peer: RankPeer,
    call: RoundCall,
): Promise<SendResult> => {
    try {
        return await peer.send(call);
    }
    catch (error) {
        events.emit(rankPeerFailed, { rank: peer.rank, call: call.kind, error: errorMessage(error) });
        return { kind: "silent" };
    }
};

const sendToAll = (options: SwitchRoundOptions, call: RoundCall): Promise<SendResult[]> =>
    Promise.all(options.peers.map(peer => send(options, peer, call)));

const failureOf = (results: readonly SendResult[], stage: string): RoundResult | undefined => {
    for (const result of results) {
        if (result.kind === "refused") {
            return { kind: "failed", reason: `${stage}: ${result.reason}`, promised: result.promised };
        }
        if (result.kind === "silent") {
            return { kind: "failed", reason: `${stage}: an agent did not answer`, promised: undefined };
        }
    }
    return undefined;
};

/** Waits until all ranks have the copies. */
const waitForCopies = async (options: SwitchRoundOptions): Promise<RoundResult | undefined> => {
    const { clock, copyMs, epoch, peers, version } = options;
    const endMs = clock.nowMs() + copyMs * COPY_TIME_FACTOR + COPY_TIME_SLACK_MS;
    await sleep(clock, copyMs * EARLY_LOOK_SHARE);
    let waiting = [...peers];
    while (waiting.length > 0) {
        if (clock.nowMs() >= endMs) {
            return { kind: "failed", reason: "the copies took too long", promised: undefined };
        }
        await sleep(clock, COPY_POLL_MS);
        const states = await Promise.allSettled(waiting.map(peer => peer.report()));
        for (const state of states) {
            if (state.status === "fulfilled" && state.value.group?.epoch !== epoch) {
                return { kind: "failed", reason: "the group has another epoch", promised: undefined };
            }
        }
        waiting = waiting.filter((_, index) => {
            const state = states[index];
            return state?.status !== "fulfilled" || state.value.preparedVersion !== version;
        });
    }
    return undefined;
};

/** What {@link disarmAndRelease} needs. */
export type DisarmOptions = Pick<
    SwitchRoundOptions,
    "clock" | "events" | "member" | "peers" | "epoch" | "ballot"
>;

/**
 * Has all ranks disarmed and then releases the held pass. Goes on until all ranks have confirmed or the group has
 * formed anew: going on without a rank's word could let it begin the pass on another map.
 *
 * @param options - the round
 * @param pass - the held pass
 * @param reason - why the round is given up
 */
export const disarmAndRelease = async (
    options: DisarmOptions,
    pass: PassNumber,
    reason: string,
): Promise<void> => {
    const { ballot, clock, epoch, events } = options;
    const startMs = clock.nowMs();
    let waiting = [...options.peers];
    const call: RoundCall = { kind: "disarm", ballot, epoch, pass };
    while (waiting.length > 0 && !isFaultSeeded("rank.release-before-all-confirm")) {
        const results = await Promise.all(
            waiting.map(peer => send(options, peer, call)),
        );
        waiting = waiting.filter((_, index) => results[index]?.kind !== "done");
        if (waiting.length > 0) {
            if (!await isHeld(options, pass)) {
                break;
            }
            await sleep(clock, DISARM_RETRY_MS);
        }
    }
    await releaseHeld(options, pass);
    events.emit(roundAborted, { epoch, pass, reason, tookMs: Math.round(clock.nowMs() - startMs) });
};

/** Releases a pass until it is known not to be held, or another agent does it. */
const releaseHeld = async (options: DisarmOptions, pass: PassNumber): Promise<ReleaseResult> => {
    for (;;) {
        const result = await tryRelease(options.member, options.epoch, pass);
        if (result !== "held" || !await isHeld(options, pass)) {
            return result;
        }
        await sleep(options.clock, DISARM_RETRY_MS);
    }
};

/** An unreadable rank counts as held: its hold may still stand. A group that has formed anew holds nothing. */
const isHeld = async ({ epoch, member }: DisarmOptions, pass: PassNumber): Promise<boolean> => {
    try {
        const { group, heldPass } = await member.readReport();
        return group?.epoch === epoch && heldPass === pass;
    }
    catch {
        return true;
    }
};

/** A rank whose state cannot be read may still hold the pass. */
const tryRelease = async (member: RankMember, epoch: number, pass: PassNumber): Promise<ReleaseResult> => {
    try {
        return await member.release(epoch, pass);
    }
    catch {
        return "held";
    }
};

/**
 * Changes the map of a group.
 *
 * @param options - the leader, the ranks and the map
 * @returns how it ended; afterwards no pass is held by this round
 */
export const runSwitchRound = async (options: SwitchRoundOptions): Promise<RoundResult> => {
    const { ballot, clock, epoch, events, member, placement, version } = options;
    const prepared = await sendToAll(options, { kind: "prepare", ballot, epoch, version, placement });
    const notPrepared = failureOf(prepared, "prepare") ?? await waitForCopies(options);
    if (notPrepared) {
        return notPrepared;
    }
    const startMs = clock.nowMs();
    await member.beginRound();
    const pass = (await member.readReport()).pass + LEAD_PASSES as PassNumber;
    if (!isFaultSeeded("rank.skip-hold") && !await member.hold(epoch, pass)) {
        // A hold that was refused is not in force, and nothing was armed.
        return { kind: "failed", reason: "the pass could not be held", promised: undefined };
    }
    const contentHash = hashPlacement(placement);
    const armed = await sendToAll(options, { kind: "arm", ballot, epoch, version, contentHash, pass });
    const notArmed = failureOf(armed, "arm");
    if (notArmed) {
        await disarmAndRelease(options, pass, notArmed.kind === "failed" ? notArmed.reason : "");
        return notArmed;
    }
    if (await releaseHeld(options, pass) === "overtaken") {
        return { kind: "failed", reason: "another agent has ended the round", promised: undefined };
    }
    events.emit(mapSwitched, { epoch, version, pass, heldMs: Math.round(clock.nowMs() - startMs) });
    return { kind: "switched", pass };
};
