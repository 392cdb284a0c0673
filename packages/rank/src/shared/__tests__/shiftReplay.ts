/**
 * Replays shifts of expert popularity against a leader's decisions, without a network. Requests belong to
 * topics that differ in the experts they select; at a shift most new requests change their topic.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import { createRandomSource, type RandomSource } from "@magnolialock/kernel";
import type { ExpertPlacement } from "../../types/rankServer.ts";
import { type PlacementPlan, skewOf } from "../improvePlacement.ts";

/**
 * Time that a leader takes to read the statuses of all ranks, in milliseconds.
 *
 * @param ranks - number of ranks
 */
export const statusSweepMs = (ranks: number): number => ranks * STATUS_MS / CORE_SHARE;

/** What a replay calls in place of the leader. */
export interface ReplayedLeader {
    /** Time between two cycles, in milliseconds. */
    readonly cycleMs: number;
    /** Adds the counts of a cycle, by set, then expert, at a time in milliseconds. */
    readonly add: (counts: Float64Array, nowMs: number) => void;
    /** Plans the next map for a pass duration in milliseconds; undefined keeps the map. */
    readonly plan: (current: ExpertPlacement, passMs: number) => Promise<PlacementPlan | undefined>;
}

/** Result of a replay. */
export interface ReplayResult {
    /** Mean over time of the load of the most loaded ranks over the mean load. */
    readonly meanSkew: number;
    /** Copies of all plans. */
    readonly copies: number;
    /** Map switches; each sends four orders to every rank. */
    readonly switches: number;
    /** Moves evaluated by the largest plan. */
    readonly largestPlan: number;
}

const RUN_MS = 20_000;
const TICK_MS = 40;
const SLOTS_PER_RANK = 7;
const TOPICS = 12;
const MEAN_REQUEST_MS = 1_200;
/** Selections of a request in each set, per millisecond: a pass of 7 steps each 100 ms, 2 experts a token. */
const SELECTIONS_PER_MS = 0.14;
/** Processor share of an agent; the times of the leader's work are stretched by it. */
const CORE_SHARE = 0.405;
/** Processor time of the leader for a rank's status, for a rank's call of a round, and for a move of a plan. */
const STATUS_MS = 0.6;
const CALL_MS = 0.4;
const MOVE_MS = 0.001;
/** Duration of a pass on an even map, and the part of it that grows with the skew. */
const EVEN_PASS_MS = 70;
const EXPERT_SHARE = 0.85;
/** Passes between the end of the copies and the first pass on the new map. */
const LEAD_PASSES = 4;

const shuffledWeights = (random: RandomSource, experts: number, exponent: number): number[] => {
    const weights = Array.from({ length: experts }, (_, position) => (position + 1) ** -exponent);
    for (let last = experts - 1; last > 0; last--) {
        const other = random.nextInt(0, last);
        [weights[last], weights[other]] = [weights[other] as number, weights[last] as number];
    }
    return weights;
};

/** Shares of one topic by set, then expert: what all topics share, times what only this topic selects. */
const drawTopics = (random: RandomSource, { experts, sets }: ExpertSpec): number[][][] => {
    const common = Array.from({ length: sets }, () => shuffledWeights(random, experts, 0.3));
    return Array.from({ length: TOPICS }, () =>
        common.map(weights => {
            const own = shuffledWeights(random, experts, 0.75);
            const products = weights.map((weight, expert) => weight * (own[expert] as number));
            const sum = products.reduce((total, product) => total + product, 0);
            return products.map(product => product / sum);
        }));
};

/** Requests in progress by topic, and the topics of new ones. */
class Demand {
    public shares: number[][];
    private readonly topicBySlot: number[];
    private hotTopic = 0;
    private hotShare = 0.6;
    private shiftMs = 0;

    public constructor(
        private readonly random: RandomSource,
        private readonly topics: readonly number[][][],
        ranks: number,
    ) {
        this.topicBySlot = Array.from({ length: ranks * SLOTS_PER_RANK }, () => this.drawTopic());
        this.shares = this.mix();
    }

    public advance(nowMs: number): void {
        if (nowMs >= this.shiftMs) {
            this.shiftMs = nowMs + 3_200 + 500 * this.random.nextFloat();
            this.hotTopic = this.random.nextInt(0, TOPICS - 1);
            this.hotShare = 0.51 + 0.27 * this.random.nextFloat();
        }
        for (let slot = 0; slot < this.topicBySlot.length; slot++) {
            if (this.random.nextFloat() < TICK_MS / MEAN_REQUEST_MS) {
                this.topicBySlot[slot] = this.drawTopic();
            }
        }
        this.shares = this.mix();
    }

    private drawTopic(): number {
        return this.random.nextFloat() < this.hotShare ? this.hotTopic : this.random.nextInt(0, TOPICS - 1);
    }

    private mix(): number[][] {
        const weights = new Float64Array(TOPICS);
        for (const topic of this.topicBySlot) {
            weights[topic] = (weights[topic] as number) + 1 / this.topicBySlot.length;
        }
        const [first = []] = this.topics;
        return first.map((experts, set) =>
            experts.map((_, expert) =>
                this.topics.reduce(
                    (sum, topic, index) => sum + (topic[set]?.[expert] ?? 0) * (weights[index] as number),
                    0,
                )
            )
        );
    }
}

const roundRobin = ({ experts, sets }: ExpertSpec, ranks: number): ExpertPlacement =>
    Array.from({ length: sets }, () =>
        Array.from(
            { length: ranks },
            (_, rank) =>
                Array.from({ length: experts }, (_unused, expert) => expert).filter(e => e % ranks === rank),
        ));

/**
 * Replays 20 s of demand with a shift every 3.2 to 3.7 s.
 *
 * @param spec - limits of maps
 * @param ranks - number of ranks
 * @param seed - seed of the demand
 * @param leader - the leader
 */
export const replayShifts = async (
    spec: ExpertSpec,
    ranks: number,
    seed: number,
    leader: ReplayedLeader,
): Promise<ReplayResult> => {
    const random = createRandomSource(seed);
    const demand = new Demand(random.fork("demand"), drawTopics(random.fork("topics"), spec), ranks);
    const noise = random.fork("noise");
    const counts = new Float64Array(spec.sets * spec.experts);
    let placement = roundRobin(spec, ranks);
    let skew = 1;
    let readMs = leader.cycleMs;
    let pending: { readonly placement: ExpertPlacement; readonly atMs: number; } | undefined;
    const result = { meanSkew: 0, copies: 0, switches: 0, largestPlan: 0 };
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += TICK_MS) {
        demand.advance(nowMs);
        if (pending && nowMs >= pending.atMs) {
            placement = pending.placement;
            pending = undefined;
            result.switches += 1;
        }
        skew = skewOf(placement, demand.shares);
        result.meanSkew += skew * TICK_MS / RUN_MS;
        demand.shares.forEach((experts, set) =>
            experts.forEach((share, expert) => {
                const mean = share * ranks * SLOTS_PER_RANK * SELECTIONS_PER_MS * TICK_MS;
                const spread = Math.sqrt(3 * mean) * (2 * noise.nextFloat() - 1);
                const index = set * spec.experts + expert;
                counts[index] = (counts[index] as number) + Math.max(0, mean + spread);
            })
        );
        if (nowMs < readMs || pending) {
            continue;
        }
        leader.add(counts, nowMs);
        counts.fill(0);
        const passMs = EVEN_PASS_MS * (1 - EXPERT_SHARE + EXPERT_SHARE * skew);
        const plan = await leader.plan(placement, passMs);
        const planMs = statusSweepMs(ranks) + (plan?.evaluatedMoves ?? 0) * MOVE_MS / CORE_SHARE;
        readMs = nowMs + planMs + leader.cycleMs;
        result.largestPlan = Math.max(result.largestPlan, plan?.evaluatedMoves ?? 0);
        if (plan) {
            const roundMs = plan.copiesOfFullestRank * spec.copyMs + 4 * ranks * CALL_MS / CORE_SHARE
                + LEAD_PASSES * passMs;
            pending = { placement: plan.placement, atMs: nowMs + planMs + roundMs };
            readMs += roundMs;
            result.copies += plan.copies;
        }
    }
    return result;
};
