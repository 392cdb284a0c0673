/**
 * Task of a rank agent: watches its own rank, and leads the changes of map while no agent of a lower rank does.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/fleetPicture.ts";
import { type Clock, errorMessage, type EventLog, sleep } from "@magnolialock/kernel";
import type { Ballot, RankStatus } from "../types/rankMessages.ts";
import type { ExpertPlacement, GroupMembership } from "../types/rankServer.ts";
import { compareBallots, nextVersion } from "./ballots.ts";
import { ExpertDemand } from "./expertDemand.ts";
import { improvePlacement, skewOf } from "./improvePlacement.ts";
import { isUneven, isWorthCopies, toleranceFor } from "./movePolicy.ts";
import { OWN_RANK, ownPeer } from "./ownPeer.ts";
import type { PassHolder } from "./passHolder.ts";
import { PassMeter } from "./passMeter.ts";
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
import { type RankPeer, runSwitchRound } from "./switchRound.ts";

/** Options of a {@link GroupLeader}. */
export interface GroupLeaderOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** The own rank. */
    readonly member: RankMember;
    /** Passes that are held at the own rank. */
    readonly holder: PassHolder;
    /**
     * Agents of the group's other ranks, as far as they are known.
     *
     * @param group - the group
     */
    readonly peersOf: (group: GroupMembership) => Promise<readonly RankPeer[]>;
    /** Bounds of maps; undefined while they are not known. */
    readonly spec: () => ExpertSpec | undefined;
}

/** Time between looks at the group; popularity shifts within a second. */
const PERIOD_MS = 150;
/** Time between looks until the demand is known: a group that has just formed is at its slowest. */
const FIRST_PERIOD_MS = 60;
/** Silence of the agents of lower ranks after which the next one leads. */
const TAKE_OVER_MS = 700;
/** Additional silence for each rank, so that the agents do not all begin to lead. */
const TAKE_OVER_PER_RANK_MS = 200;
/** Time for the copies of one plan on one rank, in milliseconds: the plan must still be right when they are done. */
const COPY_BUDGET_MS = 430;
const LEAST_COPIES_PER_RANK = 1;

/** Watches one rank and leads its group when it is its turn. */
export class GroupLeader implements AsyncDisposable {
    private readonly options: GroupLeaderOptions;
    private readonly stopping = new AbortController();
    private running: Promise<void> | undefined;
    private lowerRankAskedMs: number;
    private isLost = false;
    private isLeading = false;
    private epoch: number | undefined;
    private demand: ExpertDemand | undefined;
    private readonly passes = new PassMeter();

    /** @param options - the rank and its group */
    public constructor(options: GroupLeaderOptions) {
        this.options = options;
        this.lowerRankAskedMs = options.clock.nowMs();
    }

    /** Starts the task. */
    public start(): void {
        this.running = this.run();
    }

    /**
     * Notes that the agent of another rank asked for the state.
     *
     * @param rank - rank of the asking agent
     * @param ownRank - rank of this agent
     */
    public noteAsked(rank: number, ownRank: number): void {
        if (rank < ownRank) {
            this.lowerRankAskedMs = this.options.clock.nowMs();
        }
    }

    /** Ends the task after the round under way. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        const { clock, events } = this.options;
        while (!this.stopping.signal.aborted) {
            try {
                await this.step();
                if (this.isLost) {
                    this.isLost = false;
                    events.emit(rankServerFound);
                }
            }
            catch (error) {
                if (!this.isLost) {
                    this.isLost = true;
                    events.emit(rankServerLost, { error: errorMessage(error) });
                }
            }
            const isWaiting = this.demand?.isKnown === false;
            await sleep(clock, isWaiting ? FIRST_PERIOD_MS : PERIOD_MS, this.stopping.signal).catch(() => {});
        }
    }

    private async step(): Promise<void> {
        const { clock, events, holder, peersOf, spec } = this.options;
        const own = await this.readOwn();
        const { group, heldPass } = own.report;
        if (!group?.isOpen) {
            return;
        }
        if (group.epoch !== this.epoch) {
            this.epoch = group.epoch;
            this.demand = undefined;
            events.emit(groupFormed, { group: group.name, epoch: group.epoch, rank: group.rank });
        }
        this.passes.add(own.report.pass, own.report.runningRequests, clock.nowMs());
        if (holder.isBusy) {
            return;
        }
        if (heldPass !== undefined) {
            await holder.recover(group, heldPass);
            return;
        }
        const limits = spec();
        if (!this.mayLead(group.rank) || !limits) {
            return;
        }
        const peers = await peersOf(group);
        const statuses = await this.readAll(own, peers);
        this.demand ??= new ExpertDemand(limits, group.size);
        this.demand.add(statuses, clock.nowMs());
        await this.plan(own, [ownPeer(this.options, group), ...peers], statuses, limits);
    }

    private async readOwn(): Promise<RankStatus> {
        // The own rank's number is not known before the first answer; counts since then are all that matters.
        return await this.options.member.status(OWN_RANK);
    }

    private mayLead(rank: number): boolean {
        const { clock, events } = this.options;
        const silentMs = clock.nowMs() - this.lowerRankAskedMs;
        // Nobody goes before rank 0: after a restart of the whole group it need not wait for anyone.
        const mayLead = rank === 0 || silentMs > TAKE_OVER_MS + rank * TAKE_OVER_PER_RANK_MS;
        if (mayLead !== this.isLeading) {
            this.isLeading = mayLead;
            this.demand = undefined;
            events.emit(mayLead ? leaderBegan : leaderEnded, { rank });
        }
        return mayLead;
    }

    private async readAll(own: RankStatus, peers: readonly RankPeer[]): Promise<RankStatus[]> {
        const answers = await Promise.allSettled(peers.map(peer => peer.status()));
        return [own, ...answers.flatMap(answer => answer.status === "fulfilled" ? [answer.value] : [])];
    }

    private async plan(
        own: RankStatus,
        peers: readonly RankPeer[],
        statuses: readonly RankStatus[],
        limits: ExpertSpec,
    ): Promise<void> {
        const { clock, events } = this.options;
        const { group } = own.report;
        const current = currentPlacement(statuses, limits);
        if (!group || !current || peers.length !== group.size || !this.demand?.isKnown) {
            return;
        }
        const shares = this.demand.shares();
        const slowness = slownessByRank(statuses);
        if (!isUneven(skewOf(current, shares, slowness), this.passes.passMs)) {
            return;
        }
        const plan = improvePlacement(current, shares, {
            limits,
            slowness,
            maxCopiesPerRank: Math.max(LEAST_COPIES_PER_RANK, Math.floor(COPY_BUDGET_MS / limits.copyMs)),
            tolerance: toleranceFor(this.passes.passMs),
        });
        if (!isWorthCopies(plan, limits.copyMs)) {
            return;
        }
        const versions = statuses.flatMap(({ report }) => [report.mapVersion, report.preparedVersion ?? 0]);
        const version = nextVersion(Math.max(...versions), group.rank);
        events.emit(mapPlanned, {
            epoch: group.epoch,
            version,
            copies: plan.copies,
            copiesOfFullestRank: plan.copiesOfFullestRank,
            skewBefore: rounded(plan.skewBefore),
            skewAfter: rounded(plan.skewAfter),
            passMs: this.passes.passMs && Math.round(this.passes.passMs),
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
        });
        if (result.kind === "failed") {
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

const rounded = (skew: number): number => Number(skew.toFixed(SKEW_DIGITS));

/** Map in force; undefined unless all ranks are known, agree on it and change nothing. */
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
