/**
 * One round of a map switch, run by any member of the group.
 *
 * @packageDocumentation
 */

import { errorMessage, isFaultSeeded } from "@magnolialock/kernel";
import type { EncodedMap, MapActivation } from "../../types/mapActivation.ts";
import { mergeDecided } from "./decidedMaps.ts";
import type { MapMember } from "./mapMember.ts";
import type { MemberCalls, MemberReply } from "./memberReply.ts";

/** Options of {@link runMapRound}. */
export interface MapRoundOptions {
    /** Member that coordinates the round. */
    readonly member: MapMember;
    /** Clients of all other members. */
    readonly peers: readonly MemberCalls[];
    /** Epoch of the round; see {@link nextEpoch}. */
    readonly epoch: number;
    /** Map that is in force when no member knows a decision. */
    readonly initialMap: EncodedMap;
    /** Map to switch to; without it the round only settles undecided changes. */
    readonly proposal?: EncodedMap;
    /** Steps between the group's current step and the first on the new map. */
    readonly leadSteps: number;
}

/** Result of a round. */
export type MapRoundResult =
    | { readonly kind: "settled"; readonly decided: readonly MapActivation[]; }
    | {
        readonly kind: "committed";
        readonly activation: MapActivation;
        readonly unconfirmed: readonly MemberCalls[];
    }
    | { readonly kind: "failed"; readonly reason: string; readonly highestEpoch: number; };

/**
 * Chooses an epoch that is higher than all known ones and that no other member can choose.
 *
 * @param highestEpoch - highest known epoch
 * @param rank - rank of the coordinator
 * @param ranks - number of ranks
 * @returns the epoch
 */
export const nextEpoch = (highestEpoch: number, rank: number, ranks: number): number =>
    (Math.floor(highestEpoch / ranks) + 1) * ranks + rank;

/** Thrown inside a round when a member refused a call or did not answer. */
class RoundFailure {
    public constructor(public readonly reason: string, public readonly highestEpoch: number) {}
}

type MemberCall = (calls: MemberCalls) => Promise<MemberReply>;

/** Calls all members in parallel; fails the round unless all of them accept. */
const callAll = async (members: readonly MemberCalls[], call: MemberCall): Promise<MemberReply[]> => {
    const results = await Promise.allSettled(members.map(call));
    const replies = results.flatMap(result => result.status === "fulfilled" ? [result.value] : []);
    const highestEpoch = Math.max(0, ...replies.map(({ promisedEpoch }) => promisedEpoch));
    results.forEach((result, index) => {
        const rank = members[index]!.rank;
        if (result.status === "rejected") {
            throw new RoundFailure(`rank ${rank}: ${errorMessage(result.reason)}`, highestEpoch);
        }
        if (result.value.refusal) {
            throw new RoundFailure(`rank ${rank} refused: ${result.value.refusal}`, highestEpoch);
        }
    });
    return replies;
};

/**
 * Finds the step that the group is in. When every engine has restarted, the group continues with the newest
 * map.
 */
const findGroupStep = (reports: readonly MemberReply[], decided: readonly MapActivation[]): number => {
    const step = Math.max(...reports.map(report => report.step));
    const isAnyRunning = reports.some(({ isSettled }) => isSettled);
    return isAnyRunning ? step : Math.max(step, decided.at(-1)!.fromStep);
};

/** Runs the phases of one round. */
class MapRound {
    private readonly members: readonly MemberCalls[];

    public constructor(private readonly options: MapRoundOptions) {
        this.members = [options.member, ...options.peers];
    }

    public async run(): Promise<MapRoundResult> {
        const reports = await callAll(this.members, member => member.prepare(this.options.epoch));
        const decided = this.mergeDecisions(reports);
        const step = findGroupStep(await this.refreshReports(reports), decided);
        await this.settle(reports, decided, step);
        const { proposal } = this.options;
        if (!proposal || decided.at(-1)!.map.id === proposal.id) {
            return { kind: "settled", decided };
        }
        const fromStep = Math.max(step, decided.at(-1)!.fromStep) + this.options.leadSteps;
        return this.armAndDecide({ epoch: this.options.epoch, fromStep, map: proposal });
    }

    /**
     * A report may be older than the restart of another rank's engine. Once that engine has reported, the
     * group is stalled, so a second report shows the step at which it has stopped.
     */
    private async refreshReports(reports: readonly MemberReply[]): Promise<readonly MemberReply[]> {
        const isRunning = reports.every(({ isSettled }) => isSettled);
        return isRunning ? reports : await callAll(this.members, member => member.report());
    }

    /**
     * Merges the decisions. All members have promised, so no other change of a lower epoch can still be
     * decided.
     */
    private mergeDecisions(reports: readonly MemberReply[]): MapActivation[] {
        const decided = mergeDecided(reports.map(report => report.decided));
        return decided.length > 0 ? decided : [{ epoch: 0, fromStep: 0, map: this.options.initialMap }];
    }

    private async settle(
        reports: readonly MemberReply[],
        decided: readonly MapActivation[],
        step: number,
    ): Promise<void> {
        const { epoch } = this.options;
        const byRank = new Map(reports.map(report => [report.rank, report]));
        await callAll(this.members, member => {
            const { incarnation, engineIncarnation } = byRank.get(member.rank)!;
            return member.settle({ epoch, decided, step, incarnation, engineIncarnation });
        });
    }

    private async armAndDecide(activation: MapActivation): Promise<MapRoundResult> {
        const { epoch } = activation;
        try {
            await callAll(this.members, member => member.arm(activation));
        }
        catch (error) {
            if (!isFaultSeeded("maps.commit-without-unanimity")) {
                await Promise.allSettled(this.members.map(member => member.abort(epoch)));
                throw error;
            }
        }
        if (!await this.options.member.decide(epoch)) {
            throw new RoundFailure("a round with a higher epoch came first", epoch);
        }
        const { peers } = this.options;
        const answers = await Promise.allSettled(peers.map(peer => peer.commit(epoch)));
        const unconfirmed = peers.filter((_, index) => answers[index]!.status === "rejected");
        return { kind: "committed", activation, unconfirmed };
    }
}

/**
 * Runs a round: all members promise the epoch, undecided changes are settled, then all members are armed and
 * the coordinator decides the change.
 *
 * @param options - coordinator, peers, epoch and proposal
 * @returns result of the round
 */
export const runMapRound = async (options: MapRoundOptions): Promise<MapRoundResult> => {
    try {
        return await new MapRound(options).run();
    }
    catch (error) {
        if (error instanceof RoundFailure) {
            return { kind: "failed", reason: error.reason, highestEpoch: error.highestEpoch };
        }
        throw error;
    }
};
