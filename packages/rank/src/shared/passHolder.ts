/**
 * Holds a pass at this rank for a map switch that the agent of another rank leads.
 *
 * A suspended machine suspends its server as well, and no other agent can release a pass that is held there.
 * So the leader holds the pass at a rank other than its own. That rank's agent arms all ranks and releases
 * the pass. It knows at any time whether a rank can be armed; while none can, it releases the pass as soon as
 * the leader times out.
 *
 * @packageDocumentation
 */

import { type Clock, errorMessage, type EventLog, isFaultSeeded, sleep } from "@magnolialock/kernel";
import type { Ballot, HoldCall, HoldReply } from "../types/rankMessages.ts";
import type { GroupMembership, PassNumber } from "../types/rankServer.ts";
import { compareBallots } from "./ballots.ts";
import { peerCheckTimeoutMs } from "./groupTiming.ts";
import { createLocalPeer } from "./localPeer.ts";
import { holdFound, roundAborted } from "./rankEvents.ts";
import type { RankMember } from "./rankMember.ts";
import { armAndRelease, disarmAndRelease, type RankPeer } from "./switchRound.ts";

/** Options of a {@link PassHolder}. */
export interface PassHolderOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Controls the agent's own rank. */
    readonly member: RankMember;
    /**
     * Lists the known agents of the group's other ranks.
     *
     * @param group - the group
     */
    readonly peersOf: (group: GroupMembership) => Promise<readonly RankPeer[]>;
}

/**
 * Time within which a leader that was granted a hold must send the finish call, in milliseconds. The group
 * may be stalled meanwhile; with a much shorter time, rounds whose hold order had to be sent twice are
 * abandoned.
 */
const GRANT_TIMEOUT_MS = 250;
/**
 * Time between two attempts to reach the own server or other agents while a pass may be held, in
 * milliseconds.
 */
const RETRY_INTERVAL_MS = 25;
/**
 * Clock skew up to which a ballot created here still exceeds those of rounds that began earlier, in
 * milliseconds.
 */
const MAX_CLOCK_SKEW_MS = 60_000;

interface Grant {
    readonly ballot: Ballot;
    readonly group: GroupMembership;
    readonly peers: readonly RankPeer[];
}

const refused = (reason: string): HoldReply => ({ kind: "refused", reason });

const isSameBallot = (left: Ballot, right: Ballot): boolean => compareBallots(left, right) === 0;

/** Handles the calls of leaders that hold a pass at the agent's own rank. */
export class PassHolder {
    private readonly options: PassHolderOptions;
    private grant: Grant | undefined;
    private isCompleting = false;
    private isStopping = false;

    /** @param options - clock, event log, own rank and access to the group */
    public constructor(options: PassHolderOptions) {
        this.options = options;
    }

    /** Whether a round known to this agent may hold a pass here. */
    public get isBusy(): boolean {
        return this.grant !== undefined || this.isCompleting;
    }

    /**
     * Handles a call of a leader.
     *
     * @param call - the call
     */
    public handleCall(call: HoldCall): Promise<HoldReply> {
        return call.kind === "grant" ? this.handleGrant(call) : this.handleFinish(call);
    }

    /**
     * Abandons a round that this agent does not know, such as one from before its last restart: disarms all
     * ranks, then releases the pass.
     *
     * @param group - the group
     * @param pass - the pass that is held at the agent's own rank
     */
    public async recover(group: GroupMembership, pass: PassNumber): Promise<void> {
        const { clock, events, member } = this.options;
        events.emit(holdFound, { epoch: group.epoch, pass });
        this.isCompleting = true;
        try {
            const peers = await this.waitForAllPeers(group);
            const ballot = {
                number: Math.max(Math.floor(clock.wallMs()), member.promisedBallot.number)
                    + MAX_CLOCK_SKEW_MS,
                rank: group.rank,
            };
            await member.beginRound();
            const round = {
                clock,
                events,
                member,
                peers,
                epoch: group.epoch,
                ballot,
                holder: group.rank,
                version: undefined,
            };
            await disarmAndRelease(round, pass, "the agent does not know the round");
        }
        finally {
            this.isCompleting = false;
        }
    }

    /** Refuses new rounds and waits for the current one to end. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.isStopping = true;
        while (this.isBusy) {
            await sleep(this.options.clock, RETRY_INTERVAL_MS);
        }
    }

    private async handleGrant({ ballot, epoch }: HoldCall & { readonly kind: "grant"; }): Promise<HoldReply> {
        const { member } = this.options;
        const isRepeated = this.grant !== undefined && isSameBallot(this.grant.ballot, ballot);
        if (this.isStopping || this.isBusy && (!isRepeated || this.isCompleting)) {
            return refused("another round is under way");
        }
        const { group } = await member.readReport();
        if (group?.epoch !== epoch) {
            return refused("the group has another epoch");
        }
        const peers = await this.knownPeers(group);
        if (peers.length !== group.size) {
            return refused("not all agents of the group are known");
        }
        if (this.isBusy && !isRepeated || this.isCompleting) {
            return refused("another round is under way");
        }
        const grant: Grant = { ballot, group, peers };
        this.grant = grant;
        void this.expireGrant(grant);
        const reservation = await member.reserve(ballot, epoch);
        // Ranks may be armed for a pass that was held before the agent's last restart; only `recover` may end
        // that round.
        if (
            reservation
            && (isRepeated || reservation.heldPass === undefined || isFaultSeeded("rank.take-over-holds"))
        ) {
            return { kind: "granted", ...reservation };
        }
        if (this.grant === grant && !isRepeated) {
            // Without a token the leader cannot hold a pass.
            this.grant = undefined;
        }
        return refused("the rank takes part in another round");
    }

    /**
     * Expires a grant that the leader does not use in time. No rank is armed for its round then, and none
     * will be.
     */
    private async expireGrant(grant: Grant): Promise<void> {
        await sleep(this.options.clock, GRANT_TIMEOUT_MS);
        const mayEnd = !this.isCompleting || isFaultSeeded("rank.release-while-arming");
        if (this.grant === grant && mayEnd) {
            await this.releaseUnarmed(grant, "the leader did not finish the round in time");
        }
    }

    private async handleFinish(call: HoldCall & { readonly kind: "finish"; }): Promise<HoldReply> {
        const { grant } = this;
        if (!grant || this.isCompleting || !isSameBallot(grant.ballot, call.ballot)) {
            return refused("the hold has ended");
        }
        this.isCompleting = true;
        const { clock, events, member } = this.options;
        const { contentHash, epoch, pass, version } = call;
        try {
            const { heldPass } = await member.readReport();
            if (heldPass !== pass && !isFaultSeeded("rank.skip-hold")) {
                await this.releaseUnarmed(grant, "the pass is not held");
                return refused("the pass is not held");
            }
            if (!await this.allPeersAnswer(grant.peers)) {
                await this.releaseUnarmed(grant, "an agent did not answer");
                return refused("an agent did not answer");
            }
            const round = {
                clock,
                events,
                member,
                peers: grant.peers,
                epoch,
                ballot: call.ballot,
                holder: grant.group.rank,
            };
            const result = await armAndRelease({ ...round, contentHash, pass, version });
            return result.kind === "switched" ? { kind: "switched" } : refused(result.reason);
        }
        finally {
            this.grant = undefined;
            this.isCompleting = false;
        }
    }

    /** Checks whether all agents answer within the time limit. */
    private async allPeersAnswer(peers: readonly RankPeer[]): Promise<boolean> {
        const answers = Promise.all(peers.map(peer => peer.report())).then(() => true, () => false);
        return Promise.race([
            answers,
            sleep(this.options.clock, peerCheckTimeoutMs(peers.length)).then(() => false),
        ]);
    }

    /** Retries until the rank is known to hold nothing, since no other agent can release the pass. */
    private async releaseUnarmed({ group, ballot }: Grant, reason: string): Promise<void> {
        const { clock, events, member } = this.options;
        const startMs = clock.nowMs();
        this.isCompleting = true;
        let error: string | undefined;
        const release = (): Promise<boolean> =>
            member.releaseUnarmed(group.epoch).catch((cause: unknown) => {
                error = errorMessage(cause);
                return false;
            });
        while (!await release()) {
            await sleep(clock, RETRY_INTERVAL_MS);
        }
        this.grant = undefined;
        this.isCompleting = false;
        const tookMs = Math.round(clock.nowMs() - startMs);
        events.emit(roundAborted, { epoch: group.epoch, leader: ballot.rank, reason, error, tookMs });
    }

    private async knownPeers(group: GroupMembership): Promise<readonly RankPeer[]> {
        const { member, peersOf } = this.options;
        return [createLocalPeer({ holder: this, member }, group), ...await peersOf(group)];
    }

    /**
     * Waits until the peers of all ranks are known: the pass must not be released before every rank was asked
     * to disarm, unless the group has re-formed.
     */
    private async waitForAllPeers(group: GroupMembership): Promise<readonly RankPeer[]> {
        const { clock, member } = this.options;
        for (;;) {
            const peers = await this.knownPeers(group);
            const { group: currentGroup } = await member.readReport();
            if (peers.length === group.size || currentGroup?.epoch !== group.epoch) {
                return peers;
            }
            await sleep(clock, RETRY_INTERVAL_MS);
        }
    }
}
