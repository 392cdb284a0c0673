/**
 * Plans the next map of a group from the one in force, with few copies that take load off the most loaded
 * ranks.
 *
 * Popularity shifts within a second, while copies take time and have a price: a plan that is good enough now
 * is better than the best plan later.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import type { ExpertPlacement } from "../types/rankServer.ts";

/** Options of {@link improvePlacement}. */
export interface ImprovePlacementOptions {
    /** Limits of maps. */
    readonly limits: ExpertSpec;
    /** Most new copies that one rank may get in a plan; a rank loads them one after the other. */
    readonly maxCopiesPerRank: number;
    /** Excess load of the most loaded rank over the mean that needs no move, as a share of the mean. */
    readonly tolerance: number;
    /**
     * Factor by which each rank is slower than its nominal speed; a slow rank must carry less load. All 1 by
     * default.
     */
    readonly slowness?: readonly number[];
}

/** A planned map. */
export interface PlacementPlan {
    /** The next map. */
    readonly placement: ExpertPlacement;
    /** New copies over all ranks. */
    readonly copies: number;
    /** New copies of the rank that gets the most of them. */
    readonly copiesOfFullestRank: number;
    /** Load of the most loaded ranks over the mean load, on the map in force. */
    readonly skewBefore: number;
    /** The same on the next map. */
    readonly skewAfter: number;
}

/**
 * Times that the load is squared in the objective, which sums its 8th powers: high enough that the most loaded
 * ranks dominate, low enough that the next ones still count.
 */
const LOAD_SQUARINGS = 3;
/** Experts of a hot rank that are considered; the others carry too little load to matter. */
const HOT_EXPERTS = 5;
/** Most loaded ranks that are considered for each move. */
const HOT_RANKS = 2;
/** Least fraction of the objective that a move must save; a smaller gain is not worth the price of a copy. */
const MIN_GAIN_PER_COPY = 0.01;

interface Move {
    readonly expert: number;
    readonly from: number | undefined;
    readonly to: number | undefined;
    readonly evicted: number | undefined;
}

/**
 * Plans the placement of one expert set. A plan weighs thousands of moves while the ranks wait for it, so a
 * move is weighed by the ranks whose load it changes only, without allocations.
 */
class LayerSetPlanner {
    public readonly expertsByRank: Set<number>[];
    public readonly loads: Float64Array;
    private readonly original: readonly ReadonlySet<number>[];
    private readonly ranksByExpert: number[][];
    private readonly newCopies: Int32Array;
    private readonly meanLoad: number;
    /** Terms of the objective by rank; always those of {@link LayerSetPlanner.loads}. */
    private readonly terms: Float64Array;
    private readonly loadChanges: Float64Array;
    private readonly isChanged: Uint8Array;
    private readonly changedRanks: number[] = [];

    public constructor(
        placement: readonly (readonly number[])[],
        private readonly shares: readonly number[],
        private readonly limits: ExpertSpec,
        private readonly newCopiesByRank: Int32Array,
        private readonly maxCopiesPerRank: number,
        private readonly slowness: readonly number[],
    ) {
        this.expertsByRank = placement.map(experts => new Set(experts));
        this.original = placement.map(experts => new Set(experts));
        this.ranksByExpert = Array.from({ length: limits.experts }, () => []);
        this.expertsByRank.forEach((experts, rank) =>
            experts.forEach(expert => this.ranksByExpert[expert]?.push(rank))
        );
        this.newCopies = new Int32Array(placement.length);
        this.loadChanges = new Float64Array(placement.length);
        this.isChanged = new Uint8Array(placement.length);
        this.loads = new Float64Array(placement.length);
        this.terms = new Float64Array(placement.length);
        this.meanLoad = shares.reduce((sum, share) => sum + share, 0) / placement.length;
        this.ranksByExpert.forEach((ranks, expert) => {
            ranks.forEach(rank => this.changeLoad(rank, this.shareOf(expert) / ranks.length));
        });
        this.applyLoadChanges();
    }

    public get peak(): number {
        return Math.max(...this.loads);
    }

    public get mean(): number {
        return this.meanLoad;
    }

    /** Applies the best move repeatedly until the load is within the tolerance or no move gains enough. */
    public applyMoves(tolerance: number): void {
        while (this.peak > this.meanLoad * (1 + tolerance)) {
            const objective = this.terms.reduce((sum, term) => sum + term, 0);
            const best = this.findMove();
            if (!best || best.objectiveChange > -objective * MIN_GAIN_PER_COPY) {
                return;
            }
            this.applyMove(best.move);
        }
    }

    private shareOf(expert: number): number {
        return this.shares[expert] ?? 0;
    }

    private ranksOf(expert: number): readonly number[] {
        return this.ranksByExpert[expert] as number[];
    }

    private termOf(load: number): number {
        let power = load / this.meanLoad;
        for (let squaring = 0; squaring < LOAD_SQUARINGS; squaring++) {
            power *= power;
        }
        return power;
    }

    /** Notes a change of a rank's load; the slowness of the rank is applied here. */
    private changeLoad(rank: number, load: number): void {
        if (this.isChanged[rank] === 0) {
            this.isChanged[rank] = 1;
            this.changedRanks.push(rank);
        }
        this.loadChanges[rank] = (this.loadChanges[rank] as number) + load * (this.slowness[rank] ?? 1);
    }

    private applyLoadChanges(): void {
        for (const rank of this.changedRanks) {
            this.loads[rank] = (this.loads[rank] as number) + (this.loadChanges[rank] as number);
            this.terms[rank] = this.termOf(this.loads[rank] as number);
        }
        this.discardLoadChanges();
    }

    private discardLoadChanges(): void {
        for (const rank of this.changedRanks) {
            this.loadChanges[rank] = 0;
            this.isChanged[rank] = 0;
        }
        this.changedRanks.length = 0;
    }

    /** Notes the changes of load when copies of an expert are removed from and added to ranks. */
    private changeCopies(expert: number, from: number | undefined, to: number | undefined): void {
        const ranks = this.ranksOf(expert);
        const share = this.shareOf(expert);
        const loadBefore = share / ranks.length;
        const loadAfter = share / (ranks.length + (to === undefined ? 0 : 1) - (from === undefined ? 0 : 1));
        if (loadAfter !== loadBefore) {
            for (const rank of ranks) {
                this.changeLoad(rank, loadAfter - loadBefore);
            }
        }
        if (from !== undefined) {
            this.changeLoad(from, -loadAfter);
        }
        if (to !== undefined) {
            this.changeLoad(to, loadAfter);
        }
    }

    private noteMove({ evicted, expert, from, to }: Move): void {
        if (evicted !== undefined) {
            this.changeCopies(evicted, to, undefined);
        }
        this.changeCopies(expert, from, to);
    }

    private objectiveChangeOf(move: Move): number {
        this.noteMove(move);
        let change = 0;
        for (const rank of this.changedRanks) {
            const load = (this.loads[rank] as number) + (this.loadChanges[rank] as number);
            change += this.termOf(load) - (this.terms[rank] as number);
        }
        this.discardLoadChanges();
        return change;
    }

    private findMove(): { readonly move: Move; readonly objectiveChange: number; } | undefined {
        const order = Array.from(this.loads.keys())
            .sort((left, right) => (this.loads[right] as number) - (this.loads[left] as number));
        const evictions = this.expertsByRank.map((_, rank) => this.cheapestToEvict(rank));
        let best: Move | undefined;
        let bestChange = Number.POSITIVE_INFINITY;
        const consider = (move: Move): void => {
            const change = this.objectiveChangeOf(move);
            if (change < bestChange) {
                best = move;
                bestChange = change;
            }
        };
        for (const hotRank of order.slice(0, HOT_RANKS)) {
            for (const expert of this.hottestExperts(hotRank)) {
                if (this.ranksOf(expert).length > 1) {
                    consider({ expert, from: hotRank, to: undefined, evicted: undefined });
                }
                for (const to of order) {
                    this.considerTarget(expert, hotRank, to, evictions[to], consider);
                }
            }
        }
        return best && { move: best, objectiveChange: bestChange };
    }

    private considerTarget(
        expert: number,
        hotRank: number,
        to: number,
        eviction: number | undefined,
        consider: (move: Move) => void,
    ): void {
        const held = this.expertsByRank[to] as Set<number>;
        if (held.has(expert) || !this.canAdd(expert, to)) {
            return;
        }
        const isFull = held.size >= this.limits.placesPerRank;
        if (isFull && eviction === undefined) {
            return;
        }
        const evicted = isFull ? eviction : undefined;
        consider({ expert, from: undefined, to, evicted });
        consider({ expert, from: hotRank, to, evicted });
    }

    private canAdd(expert: number, rank: number): boolean {
        if (this.original[rank]?.has(expert)) {
            return true;
        }
        return (this.newCopies[rank] as number) < this.limits.newPerPreparation
            && (this.newCopiesByRank[rank] as number) < this.maxCopiesPerRank;
    }

    private hottestExperts(rank: number): number[] {
        const loadPerCopy = (expert: number): number => this.shareOf(expert) / this.ranksOf(expert).length;
        return [...this.expertsByRank[rank] as Set<number>]
            .sort((left, right) => loadPerCopy(right) - loadPerCopy(left))
            .slice(0, HOT_EXPERTS);
    }

    /** Replicated expert whose copy on a rank carries the least load; its other copies take the load over. */
    private cheapestToEvict(rank: number): number | undefined {
        let least: number | undefined;
        let leastLoad = Number.POSITIVE_INFINITY;
        for (const expert of this.expertsByRank[rank] as Set<number>) {
            const { length } = this.ranksOf(expert);
            const load = this.shareOf(expert) / length;
            if (length > 1 && load < leastLoad) {
                least = expert;
                leastLoad = load;
            }
        }
        return least;
    }

    private applyMove(move: Move): void {
        const { evicted, expert, from, to } = move;
        this.noteMove(move);
        this.applyLoadChanges();
        if (evicted !== undefined && to !== undefined) {
            this.removeCopy(to, evicted);
        }
        if (from !== undefined) {
            this.removeCopy(from, expert);
        }
        if (to !== undefined) {
            this.addCopy(to, expert);
        }
    }

    private addCopy(rank: number, expert: number): void {
        this.expertsByRank[rank]?.add(expert);
        this.ranksByExpert[expert]?.push(rank);
        this.countNewCopy(rank, expert, 1);
    }

    private removeCopy(rank: number, expert: number): void {
        this.expertsByRank[rank]?.delete(expert);
        this.ranksByExpert[expert] = this.ranksOf(expert).filter(other => other !== rank);
        this.countNewCopy(rank, expert, -1);
    }

    private countNewCopy(rank: number, expert: number, change: 1 | -1): void {
        if (!this.original[rank]?.has(expert)) {
            this.newCopies[rank] = (this.newCopies[rank] as number) + change;
            this.newCopiesByRank[rank] = (this.newCopiesByRank[rank] as number) + change;
        }
    }
}

/**
 * Measures the load skew of a map.
 *
 * @param placement - the map
 * @param shares - share of the tokens that each expert gets, by set
 * @param slowness - factor by which each rank is slower than its nominal speed; all 1 by default
 * @returns load of the most loaded ranks over the mean load, over all sets; 1 is even
 */
export const skewOf = (
    placement: ExpertPlacement,
    shares: readonly (readonly number[])[],
    slowness: readonly number[] = [],
): number => {
    let peaks = 0;
    let means = 0;
    placement.forEach((ranks, set) => {
        const copies = new Map<number, number>();
        for (const expert of ranks.flat()) {
            copies.set(expert, (copies.get(expert) ?? 0) + 1);
        }
        const loads = ranks.map(experts =>
            experts.reduce((sum, expert) => sum + (shares[set]?.[expert] ?? 0) / (copies.get(expert) ?? 1), 0)
        );
        peaks += Math.max(...loads.map((load, rank) => load * (slowness[rank] ?? 1)));
        means += loads.reduce((sum, load) => sum + load, 0) / loads.length;
    });
    return means > 0 ? peaks / means : 1;
};

/**
 * Plans the next map.
 *
 * @param current - map in force
 * @param shares - share of the tokens that each expert gets, by set
 * @param options - limits of maps and of the plan
 * @returns the plan; its map equals the one in force when no move gains enough
 */
export const improvePlacement = (
    current: ExpertPlacement,
    shares: readonly (readonly number[])[],
    options: ImprovePlacementOptions,
): PlacementPlan => {
    const { limits, maxCopiesPerRank, slowness = [], tolerance } = options;
    const newCopiesByRank = new Int32Array(current[0]?.length ?? 0);
    const planners = current.map((ranks, set) =>
        new LayerSetPlanner(ranks, shares[set] ?? [], limits, newCopiesByRank, maxCopiesPerRank, slowness)
    );
    // The most uneven sets come first, so that they get the limited number of new copies for each rank.
    const order = [...planners].sort((left, right) => right.peak / right.mean - left.peak / left.mean);
    order.forEach(planner => planner.applyMoves(tolerance));
    const placement = planners.map(planner =>
        planner.expertsByRank.map(experts => [...experts].sort((left, right) => left - right))
    );
    return {
        placement,
        copies: newCopiesByRank.reduce((sum, count) => sum + count, 0),
        copiesOfFullestRank: Math.max(0, ...newCopiesByRank),
        skewBefore: skewOf(current, shares, slowness),
        skewAfter: skewOf(placement, shares, slowness),
    };
};
