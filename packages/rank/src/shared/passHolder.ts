/**
 * Holds a pass at this rank for a change of map that the agent of another rank leads.
 *
 * A machine that is suspended takes its server along, and nobody else can release what is held there. So the leader holds
 * the pass at another rank than its own. The agent beside that rank arms the ranks and releases the pass; it knows at any
 * time whether a rank can be armed, and while none can, it releases the pass as soon as the leader falls silent.
 *
 * @packageDocumentation
 */

import { type Clock, errorMessage, type EventLog, isFaultSeeded, sleep } from "@magnolialock/kernel";
import type { Ballot, HoldCall, HoldReply } from "../types/rankMessages.ts";
import type { GroupMembership, PassNumber } from "../types/rankServer.ts";
import { compareBallots } from "./ballots.ts";
import { ownPeer } from "./ownPeer.ts";
import { holdFound, roundAborted } from "./rankEvents.ts";
import type { RankMember } from "./rankMember.ts";
import { armAndRelease, disarmAndRelease, type RankPeer } from "./switchRound.ts";

/** Options of a {@link PassHolder}. */
export interface PassHolderOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** The own rank. */
    readonly member: RankMember;
    /**
     * Agents of the group's other ranks, as far as they are known.
     *
     * @param group - the group
     */
    readonly peersOf: (group: GroupMembership) => Promise<readonly RankPeer[]>;
}

/**
 * Time in which a leader that may hold a pass has to say that it does, in milliseconds. The group may stand still
 * meanwhile; much less gives up rounds whose hold had to be ordered twice.
 */
const GRANT_LIFETIME_MS = 250;
/** Time in which all agents must answer before a rank is armed: one that is suspended could not be disarmed again. */
const ANSWER_TIMEOUT_MS = 100;
/** Time between tries to reach the own server or other agents while a pass may be held, in milliseconds. */
const RETRY_MS = 25;
/** Difference of clocks up to which a ballot made here exceeds those of rounds that began before, in milliseconds. */
const CLOCK_DIFFERENCE_MS = 60_000;

interface Grant {
    readonly ballot: Ballot;
    readonly group: GroupMembership;
    readonly ranks: readonly RankPeer[];
}

const refused = (reason: string): HoldReply => ({ kind: "refused", reason });

const isSame = (left: Ballot, right: Ballot): boolean => compareBallots(left, right) === 0;

/** Holds passes at one rank. */
export class PassHolder {
    private readonly options: PassHolderOptions;
    private grant: Grant | undefined;
    private isEnding = false;
    private isStopping = false;

    /** @param options - the own rank and its group */
    public constructor(options: PassHolderOptions) {
        this.options = options;
    }

    /** Whether a pass may be held here by a round that is known. */
    public get isBusy(): boolean {
        return this.grant !== undefined || this.isEnding;
    }

    /**
     * Takes a call of a leader.
     *
     * @param call - the call
     */
    public take(call: HoldCall): Promise<HoldReply> {
        return call.kind === "grant" ? this.allow(call) : this.finish(call);
    }

    /**
     * Ends a round of which this life of the agent knows nothing: all ranks are disarmed, then the pass is released.
     *
     * @param group - the group
     * @param pass - the pass that is held at the own rank
     */
    public async recover(group: GroupMembership, pass: PassNumber): Promise<void> {
        const { clock, events, member } = this.options;
        events.emit(holdFound, { epoch: group.epoch, pass });
        this.isEnding = true;
        try {
            const ranks = await this.knowAllRanks(group);
            const ballot = {
                number: Math.max(Math.floor(clock.wallMs()), member.promisedBallot.number)
                    + CLOCK_DIFFERENCE_MS,
                rank: group.rank,
            };
            await member.beginRound();
            const round = {
                clock,
                events,
                member,
                peers: ranks,
                epoch: group.epoch,
                ballot,
                holder: group.rank,
                version: undefined,
            };
            await disarmAndRelease(round, pass, "the round belongs to an earlier life of the agent");
        }
        finally {
            this.isEnding = false;
        }
    }

    /** Takes no new round and waits for the end of the one under way. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.isStopping = true;
        while (this.isBusy) {
            await sleep(this.options.clock, RETRY_MS);
        }
    }

    private async allow({ ballot, epoch }: HoldCall & { readonly kind: "grant"; }): Promise<HoldReply> {
        const { member } = this.options;
        const isRepeated = this.grant !== undefined && isSame(this.grant.ballot, ballot);
        if (this.isStopping || this.isBusy && (!isRepeated || this.isEnding)) {
            return refused("another round is under way");
        }
        const { group } = await member.readReport();
        if (group?.epoch !== epoch) {
            return refused("the group has another epoch");
        }
        const ranks = await this.knownRanks(group);
        if (ranks.length !== group.size) {
            return refused("not all agents of the group are known");
        }
        if (this.isBusy && !isRepeated || this.isEnding) {
            return refused("another round is under way");
        }
        const grant: Grant = { ballot, group, ranks };
        this.grant = grant;
        void this.expire(grant);
        const reservation = await member.reserve(ballot, epoch);
        // What an earlier life of the agent holds may have armed ranks; it is for `recover` to end.
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

    /** Ends a grant that the leader does not use in time. No rank is armed then, and none will be. */
    private async expire(grant: Grant): Promise<void> {
        await sleep(this.options.clock, GRANT_LIFETIME_MS);
        const mayEnd = !this.isEnding || isFaultSeeded("rank.release-while-arming");
        if (this.grant === grant && mayEnd) {
            await this.releaseUnarmed(grant, "the leader fell silent");
        }
    }

    private async finish(call: HoldCall & { readonly kind: "finish"; }): Promise<HoldReply> {
        const { grant } = this;
        if (!grant || this.isEnding || !isSame(grant.ballot, call.ballot)) {
            return refused("the hold has ended");
        }
        this.isEnding = true;
        const { clock, events, member } = this.options;
        const { contentHash, epoch, pass, version } = call;
        try {
            const { heldPass } = await member.readReport();
            if (heldPass !== pass && !isFaultSeeded("rank.skip-hold")) {
                await this.releaseUnarmed(grant, "the pass is not held");
                return refused("the pass is not held");
            }
            if (!await this.allAnswer(grant.ranks)) {
                await this.releaseUnarmed(grant, "an agent did not answer");
                return refused("an agent did not answer");
            }
            const round = {
                clock,
                events,
                member,
                peers: grant.ranks,
                epoch,
                ballot: call.ballot,
                holder: grant.group.rank,
            };
            const result = await armAndRelease({ ...round, contentHash, pass, version });
            return result.kind === "switched" ? { kind: "switched" } : refused(result.reason);
        }
        finally {
            this.grant = undefined;
            this.isEnding = false;
        }
    }

    /** Whether all agents answer now. */
    private async allAnswer(ranks: readonly RankPeer[]): Promise<boolean> {
        const answers = Promise.all(ranks.map(rank => rank.report())).then(() => true, () => false);
        return Promise.race([answers, sleep(this.options.clock, ANSWER_TIMEOUT_MS).then(() => false)]);
    }

    /** Goes on until the rank is known to hold nothing: no other agent can release the pass. */
    private async releaseUnarmed({ group, ballot }: Grant, reason: string): Promise<void> {
        const { clock, events, member } = this.options;
        const startMs = clock.nowMs();
        this.isEnding = true;
        let error: string | undefined;
        const release = (): Promise<boolean> =>
            member.releaseUnarmed(group.epoch).catch((reason: unknown) => {
                error = errorMessage(reason);
                return false;
            });
        while (!await release()) {
            await sleep(clock, RETRY_MS);
        }
        this.grant = undefined;
        this.isEnding = false;
        const tookMs = Math.round(clock.nowMs() - startMs);
        events.emit(roundAborted, { epoch: group.epoch, leader: ballot.rank, reason, error, tookMs });
    }

    private async knownRanks(group: GroupMembership): Promise<readonly RankPeer[]> {
        const { member, peersOf } = this.options;
        return [ownPeer({ holder: this, member }, group), ...await peersOf(group)];
    }

    /** All ranks; a pass must not be released before each of them was asked, unless the group has formed anew. */
    private async knowAllRanks(group: GroupMembership): Promise<readonly RankPeer[]> {
        const { clock, member } = this.options;
        for (;;) {
            const ranks = await this.knownRanks(group);
            const { group: now } = await member.readReport();
            if (ranks.length === group.size || now?.epoch !== group.epoch) {
                return ranks;
            }
            await sleep(clock, RETRY_MS);
        }
    }
}
