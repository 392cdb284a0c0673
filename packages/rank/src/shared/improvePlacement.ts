/**
 * Plans the next map of a group from the one in force: few copies that take load off the fullest ranks.
 *
 * It answers popularity that shifts within a second while copies take a while and have a price: a plan that is good
 * enough now is better than the best one later.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/fleetPicture.ts";
import type { ExpertPlacement } from "../types/rankServer.ts";

/** Options of {@link improvePlacement}. */
export interface ImprovePlacementOptions {
    /** Bounds of maps. */
    readonly limits: ExpertSpec;
    /** Most copies that one rank takes in a plan; they are copied one after the other. */
    readonly maxCopiesPerRank: number;
    /** Excess of the fullest rank over the mean, as a share of the mean, that is left alone. */
    readonly tolerance: number;
    /** Factor by which each rank is slower than it should be; a slow rank must carry less. All 1 by default. */
    readonly slowness?: readonly number[];
}

/** A planned map. */
export interface PlacementPlan {
    /** The next map. */
    readonly placement: ExpertPlacement;
    /** Copies that it takes, over all ranks. */
    readonly copies: number;
    /** Most copies that one rank takes. */
    readonly copiesOfFullestRank: number;
    /** Load of the fullest ranks over that of the mean, on the map in force. */
    readonly skewBefore: number;
    /** The same on the next map. */
    readonly skewAfter: number;
}

/** Exponent of the load in the objective: high enough that the fullest ranks decide, low enough that the next ones count. */
const LOAD_EXPONENT = 8;
/** Experts of a full rank that are looked at; the others carry too little to matter. */
const HOT_EXPERTS = 5;
/** Full ranks that are looked at in each step. */
const HOT_RANKS = 2;
/** Least part of the objective that a copy must save; less is not worth its price. */
const LEAST_GAIN_PER_COPY = 0.01;

interface Move {
    readonly expert: number;
    readonly from: number | undefined;
    readonly to: number | undefined;
    readonly evicted: number | undefined;
    readonly objective: number;
}

/** One set of layers while it is planned. */
class SetPlan {
    public readonly ranks: Set<number>[];
    public readonly loads: Float64Array;
    private readonly original: readonly ReadonlySet<number>[];
    private readonly holders: Set<number>[];
    private readonly meanLoad: number;

    public constructor(
        placement: readonly (readonly number[])[],
        private readonly shares: readonly number[],
        private readonly limits: ExpertSpec,
        private readonly copies: Int32Array,
        private readonly maxCopiesPerRank: number,
        private readonly slowness: readonly number[],
    ) {
        this.ranks = placement.map(experts => new Set(experts));
        this.original = placement.map(experts => new Set(experts));
        this.holders = Array.from({ length: limits.experts }, () => new Set<number>());
        this.ranks.forEach((experts, rank) => experts.forEach(expert => this.holders[expert]?.add(rank)));
        this.loads = new Float64Array(placement.length);
        this.holders.forEach((ranks, expert) => this.addLoad(this.loads, ranks, this.shareOf(expert)));
        this.meanLoad = shares.reduce((sum, share) => sum + share, 0) / placement.length;
    }

    public get peak(): number {
        return Math.max(...this.loads);
    }

    public get mean(): number {
        return this.meanLoad;
    }

    /** Takes moves while they pay. */
    public improve(tolerance: number): void {
        let objective = this.objectiveOf(this.loads);
        while (this.peak > this.meanLoad * (1 + tolerance)) {
            const move = this.findMove();
            if (!move || move.objective > objective * (1 - LEAST_GAIN_PER_COPY)) {
                return;
            }
            this.carryOut(move);
            objective = move.objective;
        }
    }

    /** Copies that a rank takes in this set. */
    public newOn(rank: number): number {
        return [...this.ranks[rank] as Set<number>].filter(expert => !this.original[rank]?.has(expert))
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
        for (const hot of order.slice(0, HOT_RANKS)) {
            for (const expert of this.hottestOn(hot)) {
                const isRedundant = (this.holders[expert] as Set<number>).size > 1;
                if (isRedundant) {
                    consider({ expert, from: hot, to: undefined, evicted: undefined });
                }
                for (const to of order) {
                    this.considerTarget(expert, hot, to, consider);
                }
            }
        }
        return best;
    }

    private considerTarget(
        expert: number,
        hot: number,
        to: number,
        consider: (move: Omit<Move, "objective">) => void,
    ): void {
        const held = this.ranks[to] as Set<number>;
        if (held.has(expert) || !this.mayTake(expert, to)) {
            return;
        }
        const evicted = held.size < this.limits.placesPerRank ? undefined : this.leastNeeded(to);
        if (held.size >= this.limits.placesPerRank && evicted === undefined) {
            return;
        }
        consider({ expert, from: undefined, to, evicted });
        consider({ expert, from: hot, to, evicted });
    }

    private mayTake(expert: number, rank: number): boolean {
        if (this.original[rank]?.has(expert)) {
            return true;
        }
        return this.newOn(rank) < this.limits.newPerPreparation
            && (this.copies[rank] as number) < this.maxCopiesPerRank;
    }

    private hottestOn(rank: number): number[] {
        const perCopy = (expert: number): number =>
            this.shareOf(expert) / (this.holders[expert] as Set<number>).size;
        return [...this.ranks[rank] as Set<number>]
            .sort((left, right) => perCopy(right) - perCopy(left))
            .slice(0, HOT_EXPERTS);
    }

    /** Expert whose copy on a rank others can carry with the least load. */
    private leastNeeded(rank: number): number | undefined {
        let least: number | undefined;
        let leastLoad = Number.POSITIVE_INFINITY;
        for (const expert of this.ranks[rank] as Set<number>) {
            const { size } = this.holders[expert] as Set<number>;
            const load = this.shareOf(expert) / size;
            if (size > 1 && load < leastLoad) {
                least = expert;
                leastLoad = load;
            }
        }
        return least;
    }

    private holdersAfter({ expert, from, to }: Pick<Move, "expert" | "from" | "to">): Set<number> {
        const ranks = new Set(this.holders[expert]);
        if (to !== undefined) {
            ranks.add(to);
        }
        if (from !== undefined) {
            ranks.delete(from);
        }
        return ranks;
    }

    private shift(loads: Float64Array, expert: number, after: ReadonlySet<number>): void {
        this.addLoad(loads, this.holders[expert] as Set<number>, -this.shareOf(expert));
        this.addLoad(loads, after, this.shareOf(expert));
    }

    private objectiveAfter(move: Omit<Move, "objective">): number {
        const loads = this.loads.slice();
        this.shift(loads, move.expert, this.holdersAfter(move));
        if (move.evicted !== undefined) {
            const evicted = { expert: move.evicted, from: move.to, to: undefined };
            this.shift(loads, move.evicted, this.holdersAfter(evicted));
        }
        return this.objectiveOf(loads);
    }

    private carryOut(move: Move): void {
        const steps = move.evicted === undefined
            ? [move]
            : [{ expert: move.evicted, from: move.to, to: undefined }, move];
        for (const step of steps) {
            const after = this.holdersAfter(step);
            this.shift(this.loads, step.expert, after);
            this.holders[step.expert] = after;
            if (step.from !== undefined) {
                this.take(step.from, step.expert, "remove");
            }
            if (step.to !== undefined) {
                this.take(step.to, step.expert, "add");
            }
        }
    }

    private take(rank: number, expert: number, change: "add" | "remove"): void {
        const isNew = !this.original[rank]?.has(expert);
        if (change === "add") {
            this.ranks[rank]?.add(expert);
        }
        else {
            this.ranks[rank]?.delete(expert);
        }
        if (isNew) {
            this.copies[rank] = (this.copies[rank] as number) + (change === "add" ? 1 : -1);
        }
    }
}

/**
 * Measures a map.
 *
 * @param placement - the map
 * @param shares - share of the tokens that each expert gets, by set
 * @param slowness - factor by which each rank is slower than it should be; all 1 by default
 * @returns load of the fullest ranks over that of the mean, over all sets; 1 is even
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
 * @param options - bounds of maps and of the plan
 * @returns the plan; its map equals the one in force where nothing pays
 */
export const improvePlacement = (
    current: ExpertPlacement,
    shares: readonly (readonly number[])[],
    options: ImprovePlacementOptions,
): PlacementPlan => {
    const { limits, maxCopiesPerRank, slowness = [], tolerance } = options;
    const copies = new Int32Array(current[0]?.length ?? 0);
    const plans = current.map((ranks, set) =>
        new SetPlan(ranks, shares[set] ?? [], limits, copies, maxCopiesPerRank, slowness)
    );
    // The most uneven sets come first: they get the copies that a rank may take in one plan.
    const order = [...plans].sort((left, right) => right.peak / right.mean - left.peak / left.mean);
    order.forEach(plan => plan.improve(tolerance));
    const placement = plans.map(plan =>
        plan.ranks.map(experts => [...experts].sort((left, right) => left - right))
    );
    return {
        placement,
        copies: copies.reduce((sum, count) => sum + count, 0),
        copiesOfFullestRank: Math.max(0, ...copies),
        skewBefore: skewOf(current, shares, slowness),
        skewAfter: skewOf(placement, shares, slowness),
    };
};
