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
    /** All other members, over the network. */
    readonly peers: readonly MemberCalls[];
    /** Epoch of the round; see {@link nextEpoch}. */
    readonly epoch: number;
    /** Map that the group starts with when no member knows a decision. */
    readonly initialMap: EncodedMap;
    /** Map to change to; without it the round only settles what is open. */
    readonly proposal?: EncodedMap;
    /** Steps between the group's present step and the first one on the new map. */
    readonly leadSteps: number;
}

/** How a round ended. */
export type MapRoundResult =
    | { readonly kind: "settled"; readonly decided: readonly MapActivation[]; }
    | {
        readonly kind: "committed";
        readonly activation: MapActivation;
        readonly unheard: readonly MemberCalls[];
    }
    | { readonly kind: "failed"; readonly reason: string; readonly highestEpoch: number; };

/**
 * Chooses an epoch that no other member uses and that is higher than all known ones.
 *
 * @param highestEpoch - highest epoch that is known
 * @param rank - rank of the coordinator
 * @param ranks - number of ranks
 * @returns the epoch
 */
export const nextEpoch = (highestEpoch: number, rank: number, ranks: number): number =>
    (Math.floor(highestEpoch / ranks) + 1) * ranks + rank;

/** Raised inside a round when a member did not agree. */
class RoundFailure {
    public constructor(public readonly reason: string, public readonly highestEpoch: number) {}
}

type MemberCall = (calls: MemberCalls) => Promise<MemberReply>;

/** Calls all members at the same time; one task for each. */
const askAll = async (members: readonly MemberCalls[], call: MemberCall): Promise<MemberReply[]> => {
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

/** Step that the group is in. When every engine has restarted, the group goes on with the newest map. */
const findStep = (reports: readonly MemberReply[], decided: readonly MapActivation[]): number => {
    const step = Math.max(...reports.map(report => report.step));
    const isAnyRunning = reports.some(({ isSettled }) => isSettled);
    return isAnyRunning ? step : Math.max(step, decided.at(-1)!.fromStep);
};

/** One round with its members at hand. */
class MapRound {
    private readonly members: readonly MemberCalls[];

    public constructor(private readonly options: MapRoundOptions) {
        this.members = [options.member, ...options.peers];
    }

    public async run(): Promise<MapRoundResult> {
        const reports = await askAll(this.members, member => member.prepare(this.options.epoch));
        const decided = this.findDecided(reports);
        const step = findStep(await this.readSteps(reports), decided);
        await this.settle(reports, decided, step);
        const { proposal } = this.options;
        if (!proposal || decided.at(-1)!.map.id === proposal.id) {
            return { kind: "settled", decided };
        }
        const fromStep = Math.max(step, decided.at(-1)!.fromStep) + this.options.leadSteps;
        return this.change({ epoch: this.options.epoch, fromStep, map: proposal });
    }

    /**
     * A report may be older than the restart of another rank's engine. Once that engine has reported, the group
     * stands, so a second report shows the step that it stands at.
     */
    private async readSteps(reports: readonly MemberReply[]): Promise<readonly MemberReply[]> {
        const isRunning = reports.every(({ isSettled }) => isSettled);
        return isRunning ? reports : await askAll(this.members, member => member.report());
    }

    /** All members have promised, so nothing else of a lower epoch can still be decided. */
    private findDecided(reports: readonly MemberReply[]): MapActivation[] {
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
        await askAll(this.members, member => {
            const { incarnation, engineIncarnation } = byRank.get(member.rank)!;
            return member.settle({ epoch, decided, step, incarnation, engineIncarnation });
        });
    }

    private async change(activation: MapActivation): Promise<MapRoundResult> {
        const { epoch } = activation;
        try {
            await askAll(this.members, member => member.arm(activation));
        }
        catch (error) {
            if (!isFaultSeeded("maps.commit-without-unanimity")) {
                await Promise.allSettled(this.members.map(member => member.abort(epoch)));
                throw error;
            }
        }
        if (!await this.options.member.decide(epoch)) {
            throw new RoundFailure("a higher epoch came first", epoch);
        }
        const { peers } = this.options;
        const answers = await Promise.allSettled(peers.map(peer => peer.commit(epoch)));
        const unheard = peers.filter((_, index) => answers[index]!.status === "rejected");
        return { kind: "committed", activation, unheard };
    }
}

/**
 * Runs a round: all members promise, what is open is settled, then all are armed and the change is decided.
 *
 * @param options - coordinator, peers, epoch and proposal
 * @returns how the round ended
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
