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
 * Exponent of the load in the objective: high enough that the most loaded ranks dominate, low enough that the
 * next ones still count.
 */
const LOAD_EXPONENT = 8;
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
    readonly objective: number;
}

/** Plans the placement of one expert set. */
class LayerSetPlanner {
    public readonly expertsByRank: Set<number>[];
    public readonly loads: Float64Array;
    private readonly original: readonly ReadonlySet<number>[];
    private readonly ranksByExpert: Set<number>[];
    private readonly meanLoad: number;

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
        this.ranksByExpert = Array.from({ length: limits.experts }, () => new Set<number>());
        this.expertsByRank.forEach((experts, rank) =>
            experts.forEach(expert => this.ranksByExpert[expert]?.add(rank))
        );
        this.loads = new Float64Array(placement.length);
        this.ranksByExpert.forEach((ranks, expert) => this.addLoad(this.loads, ranks, this.shareOf(expert)));
        this.meanLoad = shares.reduce((sum, share) => sum + share, 0) / placement.length;
    }

    public get peak(): number {
        return Math.max(...this.loads);
    }

    public get mean(): number {
        return this.meanLoad;
    }

    /** Applies the best move repeatedly until the load is within the tolerance or no move gains enough. */
    public applyMoves(tolerance: number): void {
        let objective = this.objectiveOf(this.loads);
        while (this.peak > this.meanLoad * (1 + tolerance)) {
            const move = this.findMove();
            if (!move || move.objective > objective * (1 - MIN_GAIN_PER_COPY)) {
                return;
            }
            this.applyMove(move);
            objective = move.objective;
        }
    }

    /** Number of new copies that a rank gets in this set. */
    public newCopiesOn(rank: number): number {
        return [...this.expertsByRank[rank] as Set<number>].filter(expert =>
            !this.original[rank]?.has(expert)
        )
            .length;
    }

    private shareOf(expert: number): number {
        return this.shares[expert] ?? 0;
    }

    private addLoad(loads: Float64Array, ranks: ReadonlySet<number>, load: number): void {
        for (const rank of ranks) {
            loads[rank] = (loads[rank] as number) + load / ranks.size * (this.slowness[rank] ?? 1);
        }
    }

    private objectiveOf(loads: Float64Array): number {
        let sum = 0;
        for (const load of loads) {
            sum += (load / this.meanLoad) ** LOAD_EXPONENT;
        }
        return sum;
    }

    private findMove(): Move | undefined {
        const order = Array.from(this.loads.keys())
            .sort((left, right) => (this.loads[right] as number) - (this.loads[left] as number));
        let best: Move | undefined;
        const consider = (move: Omit<Move, "objective">): void => {
            const objective = this.objectiveAfter(move);
            if (!best || objective < best.objective) {
                best = { ...move, objective };
            }
        };
        for (const hotRank of order.slice(0, HOT_RANKS)) {
            for (const expert of this.hottestExperts(hotRank)) {
                const isRedundant = (this.ranksByExpert[expert] as Set<number>).size > 1;
                if (isRedundant) {
                    consider({ expert, from: hotRank, to: undefined, evicted: undefined });
                }
                for (const to of order) {
                    this.considerTarget(expert, hotRank, to, consider);
                }
            }
        }
        return best;
    }

    private considerTarget(
        expert: number,
        hotRank: number,
        to: number,
        consider: (move: Omit<Move, "objective">) => void,
    ): void {
        const held = this.expertsByRank[to] as Set<number>;
        if (held.has(expert) || !this.canAdd(expert, to)) {
            return;
        }
        const evicted = held.size < this.limits.placesPerRank ? undefined : this.cheapestToEvict(to);
        if (held.size >= this.limits.placesPerRank && evicted === undefined) {
            return;
        }
        consider({ expert, from: undefined, to, evicted });
        consider({ expert, from: hotRank, to, evicted });
    }

    private canAdd(expert: number, rank: number): boolean {
        if (this.original[rank]?.has(expert)) {
            return true;
        }
        return this.newCopiesOn(rank) < this.limits.newPerPreparation
            && (this.newCopiesByRank[rank] as number) < this.maxCopiesPerRank;
    }

    private hottestExperts(rank: number): number[] {
        const loadPerCopy = (expert: number): number =>
            this.shareOf(expert) / (this.ranksByExpert[expert] as Set<number>).size;
        return [...this.expertsByRank[rank] as Set<number>]
            .sort((left, right) => loadPerCopy(right) - loadPerCopy(left))
            .slice(0, HOT_EXPERTS);
    }

    /** Replicated expert whose copy on a rank carries the least load; its other copies take the load over. */
    private cheapestToEvict(rank: number): number | undefined {
        let least: number | undefined;
        let leastLoad = Number.POSITIVE_INFINITY;
        for (const expert of this.expertsByRank[rank] as Set<number>) {
            const { size } = this.ranksByExpert[expert] as Set<number>;
            const load = this.shareOf(expert) / size;
            if (size > 1 && load < leastLoad) {
                least = expert;
                leastLoad = load;
            }
        }
        return least;
    }

    private ranksAfter({ expert, from, to }: Pick<Move, "expert" | "from" | "to">): Set<number> {
        const ranks = new Set(this.ranksByExpert[expert]);
        if (to !== undefined) {
            ranks.add(to);
        }
        if (from !== undefined) {
            ranks.delete(from);
        }
        return ranks;
    }

    private moveLoad(loads: Float64Array, expert: number, after: ReadonlySet<number>): void {
        this.addLoad(loads, this.ranksByExpert[expert] as Set<number>, -this.shareOf(expert));
        this.addLoad(loads, after, this.shareOf(expert));
    }

    private objectiveAfter(move: Omit<Move, "objective">): number {
        const loads = this.loads.slice();
        this.moveLoad(loads, move.expert, this.ranksAfter(move));
        if (move.evicted !== undefined) {
            const evicted = { expert: move.evicted, from: move.to, to: undefined };
            this.moveLoad(loads, move.evicted, this.ranksAfter(evicted));
        }
        return this.objectiveOf(loads);
    }

    private applyMove(move: Move): void {
        const steps = move.evicted === undefined
            ? [move]
            : [{ expert: move.evicted, from: move.to, to: undefined }, move];
        for (const step of steps) {
            const after = this.ranksAfter(step);
            this.moveLoad(this.loads, step.expert, after);
            this.ranksByExpert[step.expert] = after;
            if (step.from !== undefined) {
                this.changeCopy(step.from, step.expert, "remove");
            }
            if (step.to !== undefined) {
                this.changeCopy(step.to, step.expert, "add");
            }
        }
    }

    private changeCopy(rank: number, expert: number, change: "add" | "remove"): void {
        const isNew = !this.original[rank]?.has(expert);
        if (change === "add") {
            this.expertsByRank[rank]?.add(expert);
        }
        else {
            this.expertsByRank[rank]?.delete(expert);
        }
        if (isNew) {
            this.newCopiesByRank[rank] = (this.newCopiesByRank[rank] as number) + (change === "add" ? 1 : -1);
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
