/**
 * Task of a rank agent: monitors its own rank and, while no agent of a lower rank is active, leads the
 * group's map switches.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import { type Clock, errorMessage, type EventLog, sleep } from "@magnolialock/kernel";
import type { Ballot, RankStatus, RoundCall } from "../types/rankMessages.ts";
import type { ExpertPlacement, GroupMembership } from "../types/rankServer.ts";
import { compareBallots, nextVersion } from "./ballots.ts";
import { ExpertDemand } from "./expertDemand.ts";
import { leaderCycleMs, leaderTimeoutMs, leadPasses, longestCycleMs } from "./groupTiming.ts";
import { createLocalPeer, OWN_RANK } from "./localPeer.ts";
import { PassDurationMeter } from "./passDurationMeter.ts";
import type { PassHolder } from "./passHolder.ts";
import {
    groupFormed,
    leaderBegan,
    leaderEnded,
    mapPlanned,
    rankServerFound,
    rankServerLost,
    roundAborted,
} from "./rankEvents.ts";
import type { RankMember } from "./rankMember.ts";
import { planRebalancing } from "./rebalancePolicy.ts";
import { type RankPeer, runSwitchRound } from "./switchRound.ts";

/** Options of a {@link GroupLeader}. */
export interface GroupLeaderOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Controls the agent's own rank. */
    readonly member: RankMember;
    /** Holds passes at the agent's own rank. */
    readonly holder: PassHolder;
    /**
     * Lists the known agents of the group's other ranks.
     *
     * @param group - the group
     */
    readonly peersOf: (group: GroupMembership) => Promise<readonly RankPeer[]>;
    /** Limits of maps; undefined while they are not known. */
    readonly spec: () => ExpertSpec | undefined;
    /** Lets the event loop run between two slices of a plan. */
    readonly yieldToEventLoop: () => Promise<void>;
}

/**
 * Time between two cycles until the demand is known, in milliseconds: a newly formed group is at its slowest.
 */
const WARM_UP_CYCLE_MS = 60;
/** Monitors one rank and leads the group's map switches while its agent is the leader. */
export class GroupLeader implements AsyncDisposable {
    private readonly options: GroupLeaderOptions;
    private readonly stopping = new AbortController();
    private running: Promise<void> | undefined;
    private lowerRankSeenMs: number;
    private isServerUnreachable = false;
    private isLeading = false;
    private cycleMs = longestCycleMs(0);
    private rank: number | undefined;
    private epoch: number | undefined;
    private demand: ExpertDemand | undefined;
    private readonly passMeter = new PassDurationMeter();
    /** Time that the latest switch took to hold the pass and arm all ranks, in milliseconds. */
    private armMs: number | undefined;

    /** @param options - clock, event log, own rank and access to the group */
    public constructor(options: GroupLeaderOptions) {
        this.options = options;
        this.lowerRankSeenMs = options.clock.nowMs();
    }

    /** Starts the task. */
    public start(): void {
        this.running = this.run();
    }

    /**
     * Records a status request from the agent of another rank; requests from lower ranks keep this agent from
     * leading.
     *
     * @param rank - rank of the requesting agent
     * @param ownRank - rank of this agent
     */
    public noteStatusRequest(rank: number, ownRank: number): void {
        if (rank < ownRank) {
            this.lowerRankSeenMs = this.options.clock.nowMs();
        }
    }

    /**
     * Records a call of a round that this agent has carried out: while a round lasts, its leader requests no
     * statuses.
     *
     * @param call - the call
     */
    public noteRoundCall({ ballot, kind }: RoundCall): void {
        // An agent that abandons another agent's round sends disarm calls without being the leader.
        if (kind !== "disarm" && this.rank !== undefined) {
            this.noteStatusRequest(ballot.rank, this.rank);
        }
    }

    /** Stops the task after the current round. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        const { clock, events } = this.options;
        while (!this.stopping.signal.aborted) {
            try {
                await this.runCycle();
                if (this.isServerUnreachable) {
                    this.isServerUnreachable = false;
                    events.emit(rankServerFound);
                }
            }
            catch (error) {
                if (!this.isServerUnreachable) {
                    this.isServerUnreachable = true;
                    events.emit(rankServerLost, { error: errorMessage(error) });
                }
            }
            const isWarmingUp = this.demand?.hasEnoughSamples === false;
            const cycleMs = isWarmingUp ? WARM_UP_CYCLE_MS : this.cycleMs;
            await sleep(clock, cycleMs, this.stopping.signal).catch(() => {});
        }
    }

    private async runCycle(): Promise<void> {
        const { clock, events, holder, member, peersOf, spec } = this.options;
        // The leader's requests read the state of the other ranks about as often as these need it.
        const report = await member.readReport(this.isLeading ? 0 : this.cycleMs);
        const { group, heldPass } = report;
        if (!group?.isOpen) {
            return;
        }
        if (group.epoch !== this.epoch) {
            this.epoch = group.epoch;
            this.demand = undefined;
            events.emit(groupFormed, { group: group.name, epoch: group.epoch, rank: group.rank });
        }
        this.rank = group.rank;
        this.cycleMs = longestCycleMs(group.size);
        if (this.isLeading) {
            this.passMeter.add(report.pass, report.runningRequests, clock.nowMs());
        }
        if (holder.isBusy) {
            return;
        }
        if (heldPass !== undefined) {
            await holder.recover(group, heldPass);
            return;
        }
        const limits = spec();
        if (!this.mayLead(group) || !limits) {
            return;
        }
        const peers = await peersOf(group);
        const startMs = clock.nowMs();
        const statuses = await this.collectStatuses(peers);
        this.cycleMs = leaderCycleMs(group.size, clock.nowMs() - startMs);
        this.demand ??= new ExpertDemand(limits, group.size);
        this.demand.add(statuses, clock.nowMs());
        await this.planAndSwitch(group, [createLocalPeer(this.options, group), ...peers], statuses, limits);
    }

    private mayLead({ rank, size }: GroupMembership): boolean {
        const { clock, events } = this.options;
        const unseenMs = clock.nowMs() - this.lowerRankSeenMs;
        // No rank precedes rank 0, so after a restart of the whole group it leads without waiting.
        const mayLead = rank === 0 || unseenMs > leaderTimeoutMs(size, rank);
        if (mayLead !== this.isLeading) {
            this.isLeading = mayLead;
            this.demand = undefined;
            events.emit(mayLead ? leaderBegan : leaderEnded, { rank });
        }
        return mayLead;
    }

    private async collectStatuses(peers: readonly RankPeer[]): Promise<RankStatus[]> {
        const { member } = this.options;
        const [own, answers] = await Promise.all([
            member.status(OWN_RANK),
            Promise.allSettled(peers.map(peer => peer.status())),
        ]);
        return [own, ...answers.flatMap(answer => answer.status === "fulfilled" ? [answer.value] : [])];
    }

    private async planAndSwitch(
        group: GroupMembership,
        peers: readonly RankPeer[],
        statuses: readonly RankStatus[],
        limits: ExpertSpec,
    ): Promise<void> {
        const { clock, events } = this.options;
        const current = currentPlacement(statuses, limits);
        if (!current || peers.length !== group.size || !this.demand?.hasEnoughSamples) {
            return;
        }
        const plan = await planRebalancing({
            current,
            limits,
            passMs: this.passMeter.passMs,
            shares: this.demand.shares(),
            slowness: slownessByRank(statuses),
        }, this.options.yieldToEventLoop);
        if (!plan) {
            return;
        }
        const versions = statuses.flatMap(({ report }) => [report.mapVersion, report.preparedVersion ?? 0]);
        const version = nextVersion(Math.max(...versions), group.rank);
        events.emit(mapPlanned, {
            epoch: group.epoch,
            version,
            copies: plan.copies,
            copiesOfFullestRank: plan.copiesOfFullestRank,
            skewBefore: roundSkew(plan.skewBefore),
            skewAfter: roundSkew(plan.skewAfter),
            passMs: this.passMeter.passMs && Math.round(this.passMeter.passMs),
        });
        const result = await runSwitchRound({
            clock,
            events,
            rank: group.rank,
            peers,
            epoch: group.epoch,
            ballot: this.nextBallot(statuses, group),
            version,
            placement: plan.placement,
            copyMs: plan.copiesOfFullestRank * limits.copyMs,
            leadPasses: leadPasses(group.size, { armMs: this.armMs, passMs: this.passMeter.passMs }),
        });
        if (result.kind === "switched") {
            this.armMs = result.armMs;
        }
        else {
            events.emit(roundAborted, { epoch: group.epoch, version, reason: result.reason });
        }
    }

    private nextBallot(statuses: readonly RankStatus[], { rank }: GroupMembership): Ballot {
        const highest = statuses.map(({ promised }) => promised)
            .reduce((left, right) => compareBallots(left, right) > 0 ? left : right);
        return { number: Math.max(Math.floor(this.options.clock.wallMs()), highest.number + 1), rank };
    }
}

const slownessByRank = (statuses: readonly RankStatus[]): number[] => {
    const slowness: number[] = [];
    for (const { report } of statuses) {
        if (report.group) {
            slowness[report.group.rank] = Math.max(1, report.slowness);
        }
    }
    return slowness;
};

const SKEW_DIGITS = 3;

const roundSkew = (skew: number): number => Number(skew.toFixed(SKEW_DIGITS));

/** Map in force; undefined unless all ranks are known, agree on it, and none is armed or holds a pass. */
const currentPlacement = (
    statuses: readonly RankStatus[],
    limits: ExpertSpec,
): ExpertPlacement | undefined => {
    const [first] = statuses;
    const size = first?.report.group?.size;
    const byRank = new Map(statuses.map(status => [status.report.group?.rank, status]));
    if (!first || size === undefined || byRank.size !== size || statuses.length !== size) {
        return undefined;
    }
    const isSettled = statuses.every(({ report }) =>
        report.group?.isOpen && report.group.epoch === first.report.group?.epoch
        && report.mapVersion === first.report.mapVersion && !report.armed && report.heldPass === undefined
    );
    if (!isSettled) {
        return undefined;
    }
    return Array.from(
        { length: limits.sets },
        (_, set) => Array.from({ length: size }, (_unused, rank) => byRank.get(rank)?.experts[set] ?? []),
    );
};
