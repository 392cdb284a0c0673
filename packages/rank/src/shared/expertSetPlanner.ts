/**
 * Improves the placement of one expert set, one move at a time.
 *
 * A plan for a large group takes hundreds of moves, and the agent answers no call meanwhile. So only the most
 * loaded ranks are looked at, and of the possible targets of a copy only those that an estimate puts first
 * are evaluated exactly.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import { ExpertCopies, NONE } from "./expertCopies.ts";

/** Options of an {@link ExpertSetPlanner}. */
export interface ExpertSetPlannerOptions {
    /** Experts of each rank on the map in force. */
    readonly experts: readonly (readonly number[])[];
    /** Share of the set's tokens that each expert gets. */
    readonly shares: readonly number[];
    /** Limits of maps. */
    readonly limits: ExpertSpec;
    /** New copies of each rank over all sets; shared by the planners of a plan. */
    readonly newCopiesByRank: Int32Array;
    /** Most new copies that one rank may get over all sets. */
    readonly maxCopiesPerRank: number;
    /** Factor by which each rank is slower than its nominal speed; 1 where it is missing. */
    readonly slowness: readonly number[];
}

/** Experts of a hot rank that are considered; the others carry too little load to matter. */
const HOT_EXPERTS = 5;
/** Most loaded ranks that are considered for each move. */
const HOT_RANKS = 2;
/**
 * Targets that are evaluated for each hot expert. The estimate leaves out only how the moves of the two experts
 * overlap; evaluating all 72 ranks of a group took 16 times as many evaluations and gave no better plans.
 */
const TARGETS = 3;
/** Least fraction of the objective that a move must save; a smaller gain is not worth the price of a copy. */
const MIN_GAIN_PER_COPY = 0.01;

/** A move; {@link NONE} stands for an absent rank or expert. */
interface Move {
    expert: number;
    /** Rank that loses its copy of the expert. */
    from: number;
    /** Rank that gets a copy of the expert. */
    to: number;
    /** Expert whose copy makes room for it. */
    evicted: number;
    /** Change of the objective. */
    change: number;
}

/**
 * Term of a rank in the objective: the 8th power of its load over the mean, high enough that the most loaded
 * ranks dominate, low enough that the next ones still count.
 */
const termOf = (relativeLoad: number): number => {
    const square = relativeLoad * relativeLoad;
    const fourth = square * square;
    return fourth * fourth;
};

/** Improves the placement of one expert set. */
export class ExpertSetPlanner {
    /** Mean load of a rank, as a share of the set's tokens. */
    public readonly meanLoad: number;
    private readonly options: ExpertSetPlannerOptions;
    private readonly copies: ExpertCopies;
    private readonly slowness: Float64Array;
    private readonly shares: Float64Array;
    /** Load that one copy of an expert carries on a rank of nominal speed, over the mean load. */
    private readonly loadPerCopy: Float64Array;
    /** Loads of the ranks over the mean load. */
    private readonly loads: Float64Array;
    /** Terms of the objective by rank; always those of the loads. */
    private readonly terms: Float64Array;
    private readonly loadChanges: Float64Array;
    private readonly isChanged: Uint8Array;
    private readonly changedRanks: Int32Array;
    private changedCount = 0;
    private peak = 0;
    private evaluations = 0;
    /** Replicated expert whose copy carries the least load, by rank; NONE while the rank has a free slot. */
    private readonly evictions: Int32Array;
    /** Whether a rank can take a new copy of some expert and of one that it held on the map in force. */
    private readonly canTakeNew: Uint8Array;
    private readonly canTakeBack: Uint8Array;
    /** Load of a rank after its eviction. */
    private readonly remainingLoads: Float64Array;
    /** Change of the objective by a rank's eviction, less the rank's own term. */
    private readonly evictionCosts: Float64Array;
    private readonly evictionCostByExpert: Float64Array;
    private readonly best: Move = { expert: NONE, from: NONE, to: NONE, evicted: NONE, change: 0 };
    private readonly targets = new Int32Array(TARGETS);
    private readonly targetCosts = new Float64Array(TARGETS);

    /** @param options - map in force, shares and limits */
    public constructor(options: ExpertSetPlannerOptions) {
        this.options = options;
        this.copies = new ExpertCopies(options.experts, options.limits);
        const { experts, ranks } = this.copies;
        this.meanLoad = options.shares.reduce((sum, share) => sum + share, 0) / ranks;
        this.slowness = Float64Array.from({ length: ranks }, (_, rank) => options.slowness[rank] ?? 1);
        this.shares = Float64Array.from(
            { length: experts },
            (_, expert) => this.meanLoad > 0 ? (options.shares[expert] ?? 0) / this.meanLoad : 0,
        );
        this.loadPerCopy = new Float64Array(experts);
        this.loads = new Float64Array(ranks);
        this.terms = new Float64Array(ranks);
        this.loadChanges = new Float64Array(ranks);
        this.isChanged = new Uint8Array(ranks);
        this.changedRanks = new Int32Array(ranks);
        this.evictions = new Int32Array(ranks);
        this.canTakeNew = new Uint8Array(ranks);
        this.canTakeBack = new Uint8Array(ranks);
        this.remainingLoads = new Float64Array(ranks);
        this.evictionCosts = new Float64Array(ranks);
        this.evictionCostByExpert = new Float64Array(experts);
        for (let expert = 0; expert < experts; expert++) {
            this.updateLoadPerCopy(expert);
            this.changeLoadOfHolders(expert, this.loadPerCopy[expert] as number);
        }
        this.applyLoadChanges();
    }

    /** Load of the most loaded rank over the mean load. */
    public get relativePeak(): number {
        return this.peak;
    }

    /** Moves that were evaluated. */
    public get evaluatedMoves(): number {
        return this.evaluations;
    }

    /** Lists the experts of each rank, in ascending order. */
    public placement(): number[][] {
        return this.copies.placement();
    }

    /**
     * Applies the move that lowers the objective most.
     *
     * @returns whether there was a move that gains enough
     */
    public applyBestMove(): boolean {
        const objective = this.terms.reduce((sum, term) => sum + term, 0);
        this.best.change = -objective * MIN_GAIN_PER_COPY;
        this.best.expert = NONE;
        this.findBestMove();
        if (this.best.expert === NONE) {
            return false;
        }
        this.applyMove(this.best);
        return true;
    }

    private updateLoadPerCopy(expert: number): void {
        const copies = this.copies.copies[expert] as number;
        this.loadPerCopy[expert] = copies > 0 ? (this.shares[expert] as number) / copies : 0;
    }

    /** Notes a change of a rank's load; the slowness of the rank is applied here. */
    private changeLoad(rank: number, load: number): void {
        if (this.isChanged[rank] === 0) {
            this.isChanged[rank] = 1;
            this.changedRanks[this.changedCount++] = rank;
        }
        this.loadChanges[rank] = (this.loadChanges[rank] as number) + load * (this.slowness[rank] as number);
    }

    private changeLoadOfHolders(expert: number, load: number): void {
        const { firstSlot, nextSlot, rankBySlot } = this.copies;
        for (let slot = firstSlot[expert] as number; slot !== NONE; slot = nextSlot[slot] as number) {
            this.changeLoad(rankBySlot[slot] as number, load);
        }
    }

    private applyLoadChanges(): void {
        for (let index = 0; index < this.changedCount; index++) {
            const rank = this.changedRanks[index] as number;
            this.loads[rank] = (this.loads[rank] as number) + (this.loadChanges[rank] as number);
            this.terms[rank] = termOf(this.loads[rank] as number);
        }
        this.discardLoadChanges();
        this.peak = this.loads.reduce((peak, load) => Math.max(peak, load), 0);
    }

    private discardLoadChanges(): void {
        for (let index = 0; index < this.changedCount; index++) {
            const rank = this.changedRanks[index] as number;
            this.loadChanges[rank] = 0;
            this.isChanged[rank] = 0;
        }
        this.changedCount = 0;
    }

    /** Notes the changes of load when copies of an expert are removed from and added to ranks. */
    private noteCopies(expert: number, from: number, to: number): void {
        const change = (to === NONE ? 0 : 1) - (from === NONE ? 0 : 1);
        const copies = (this.copies.copies[expert] as number) + change;
        const loadAfter = change === 0
            ? this.loadPerCopy[expert] as number
            : (this.shares[expert] as number) / copies;
        if (change !== 0) {
            this.changeLoadOfHolders(expert, loadAfter - (this.loadPerCopy[expert] as number));
        }
        if (from !== NONE) {
            this.changeLoad(from, -loadAfter);
        }
        if (to !== NONE) {
            this.changeLoad(to, loadAfter);
        }
    }

    private noteMove(expert: number, from: number, to: number, evicted: number): void {
        if (evicted !== NONE) {
            this.noteCopies(evicted, to, NONE);
        }
        this.noteCopies(expert, from, to);
    }

    private evaluate(expert: number, from: number, to: number, evicted: number): void {
        this.evaluations += 1;
        this.noteMove(expert, from, to, evicted);
        let change = 0;
        for (let index = 0; index < this.changedCount; index++) {
            const rank = this.changedRanks[index] as number;
            const load = (this.loads[rank] as number) + (this.loadChanges[rank] as number);
            change += termOf(load) - (this.terms[rank] as number);
        }
        this.discardLoadChanges();
        if (change < this.best.change) {
            Object.assign(this.best, { expert, from, to, evicted, change });
        }
    }

    private findBestMove(): void {
        this.weighEvictions();
        const { copies: { copies }, evictions, targets } = this;
        let excluded = NONE;
        for (let count = 0; count < HOT_RANKS && count < this.copies.ranks; count++) {
            const hotRank = this.mostLoadedExcept(excluded);
            for (const expert of this.hottestExperts(hotRank)) {
                if ((copies[expert] as number) > 1) {
                    this.evaluate(expert, hotRank, NONE, NONE);
                }
                const found = this.findTargets(expert);
                for (let index = 0; index < found; index++) {
                    const to = targets[index] as number;
                    const evicted = evictions[to] as number;
                    this.evaluate(expert, NONE, to, evicted);
                    this.evaluate(expert, hotRank, to, evicted);
                }
            }
            excluded = hotRank;
        }
    }

    private mostLoadedExcept(excluded: number): number {
        let most = NONE;
        let mostLoad = Number.NEGATIVE_INFINITY;
        for (let rank = 0; rank < this.loads.length; rank++) {
            if (rank !== excluded && (this.loads[rank] as number) > mostLoad) {
                most = rank;
                mostLoad = this.loads[rank] as number;
            }
        }
        return most;
    }

    private hottestExperts(rank: number): Int32Array {
        const { expertBySlot, slotsPerRank, used } = this.copies;
        const first = rank * slotsPerRank;
        const { loadPerCopy } = this;
        return expertBySlot.slice(first, first + (used[rank] as number))
            .sort((left, right) => (loadPerCopy[right] as number) - (loadPerCopy[left] as number))
            .subarray(0, HOT_EXPERTS);
    }

    /**
     * Computes which copy each rank would evict and what that adds to the objective at the other ranks, which
     * take its load over: the cheapest copy often belongs to the very expert that makes other ranks hot.
     */
    private weighEvictions(): void {
        const { evictionCostByExpert, evictionCosts, evictions, loadPerCopy, loads, slowness, terms } = this;
        const { limits, maxCopiesPerRank, newCopiesByRank } = this.options;
        const { copies, expertBySlot, newCopies, ranks, slotsPerRank, used } = this.copies;
        evictionCostByExpert.fill(0);
        for (let rank = 0; rank < ranks; rank++) {
            const end = rank * slotsPerRank + (used[rank] as number);
            let least = NONE;
            for (let slot = rank * slotsPerRank; slot < end; slot++) {
                const expert = expertBySlot[slot] as number;
                if ((copies[expert] as number) > 1) {
                    evictionCostByExpert[expert] = (evictionCostByExpert[expert] as number)
                        + this.rise(expert, rank);
                    if (least === NONE || (loadPerCopy[expert] as number) < (loadPerCopy[least] as number)) {
                        least = expert;
                    }
                }
            }
            const isFull = (used[rank] as number) >= limits.placesPerRank;
            evictions[rank] = isFull ? least : NONE;
            this.canTakeBack[rank] = isFull && least === NONE ? 0 : 1;
            this.canTakeNew[rank] = this.canTakeBack[rank] !== 0
                    && (newCopies[rank] as number) < limits.newPerPreparation
                    && (newCopiesByRank[rank] as number) < maxCopiesPerRank
                ? 1
                : 0;
        }
        for (let rank = 0; rank < ranks; rank++) {
            const evicted = evictions[rank] as number;
            const load = loads[rank] as number;
            const term = terms[rank] as number;
            if (evicted === NONE) {
                this.remainingLoads[rank] = load;
                evictionCosts[rank] = -term;
            }
            else {
                this.remainingLoads[rank] = load
                    - (loadPerCopy[evicted] as number) * (slowness[rank] as number);
                evictionCosts[rank] = (evictionCostByExpert[evicted] as number) - this.rise(evicted, rank)
                    - term;
            }
        }
    }

    /** Rise of a rank's term when another rank evicts its copy of an expert that this rank holds, too. */
    private rise(expert: number, rank: number): number {
        const added = (this.loadPerCopy[expert] as number) / ((this.copies.copies[expert] as number) - 1)
            * (this.slowness[rank] as number);
        return termOf((this.loads[rank] as number) + added) - (this.terms[rank] as number);
    }

    /**
     * Collects the ranks at which a copy of an expert adds least to the objective, in ascending order.
     *
     * @returns number of targets found
     */
    private findTargets(expert: number): number {
        const {
            canTakeBack,
            canTakeNew,
            copies,
            evictionCosts,
            remainingLoads,
            slowness,
            targetCosts,
            targets,
        } = this;
        const added = (this.shares[expert] as number) / ((copies.copies[expert] as number) + 1);
        let found = 0;
        for (let rank = 0; rank < slowness.length; rank++) {
            const canTake = canTakeNew[rank] !== 0
                || canTakeBack[rank] !== 0 && copies.heldAtFirst(rank, expert);
            if (!canTake || copies.holds(rank, expert)) {
                continue;
            }
            const cost = (evictionCosts[rank] as number)
                + termOf((remainingLoads[rank] as number) + added * (slowness[rank] as number));
            if (found === TARGETS && cost >= (targetCosts[TARGETS - 1] as number)) {
                continue;
            }
            let index = found < TARGETS ? found++ : TARGETS - 1;
            for (; index > 0 && (targetCosts[index - 1] as number) > cost; index--) {
                targetCosts[index] = targetCosts[index - 1] as number;
                targets[index] = targets[index - 1] as number;
            }
            targetCosts[index] = cost;
            targets[index] = rank;
        }
        return found;
    }

    private applyMove({ evicted, expert, from, to }: Move): void {
        this.noteMove(expert, from, to, evicted);
        this.applyLoadChanges();
        if (evicted !== NONE) {
            this.countNewCopies(to, this.copies.remove(to, evicted));
            this.updateLoadPerCopy(evicted);
        }
        if (from !== NONE) {
            this.countNewCopies(from, this.copies.remove(from, expert));
        }
        if (to !== NONE) {
            this.countNewCopies(to, this.copies.add(to, expert));
        }
        this.updateLoadPerCopy(expert);
    }

    private countNewCopies(rank: number, change: number): void {
        const { newCopiesByRank } = this.options;
        newCopiesByRank[rank] = (newCopiesByRank[rank] as number) + change;
    }
}
