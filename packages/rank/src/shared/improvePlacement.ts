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
import { ExpertSetPlanner } from "./expertSetPlanner.ts";

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
    /** Moves that were evaluated; the processor time of a plan grows with it. */
    readonly evaluatedMoves: number;
}

/**
 * Moves that are evaluated in one slice: 1 to 8 ms of processor time at 72 ranks, the longer while the code of a
 * new process is not compiled yet.
 */
const MOVES_PER_SLICE = 1_000;

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
        const setShares = shares[set] ?? [];
        const copies = new Int32Array(setShares.length);
        for (const experts of ranks) {
            for (const expert of experts) {
                copies[expert] = (copies[expert] ?? 0) + 1;
            }
        }
        let peak = 0;
        let sum = 0;
        ranks.forEach((experts, rank) => {
            const load = experts.reduce(
                (total, expert) => total + (setShares[expert] ?? 0) / (copies[expert] ?? 1),
                0,
            );
            peak = Math.max(peak, load * (slowness[rank] ?? 1));
            sum += load;
        });
        peaks += peak;
        means += sum / ranks.length;
    });
    return means > 0 ? peaks / means : 1;
};

/** Load of the most loaded ranks over the mean load, over all sets. */
const skewOfPlanners = (planners: readonly ExpertSetPlanner[]): number => {
    const peaks = planners.reduce((sum, { meanLoad, relativePeak }) => sum + relativePeak * meanLoad, 0);
    const means = planners.reduce((sum, { meanLoad }) => sum + meanLoad, 0);
    return means > 0 ? peaks / means : 1;
};

const mostUneven = (planners: ReadonlySet<ExpertSetPlanner>): ExpertSetPlanner | undefined => {
    let most: ExpertSetPlanner | undefined;
    for (const planner of planners) {
        if (!most || planner.relativePeak > most.relativePeak) {
            most = planner;
        }
    }
    return most;
};

const countEvaluatedMoves = (planners: readonly ExpertSetPlanner[]): number =>
    planners.reduce((sum, { evaluatedMoves }) => sum + evaluatedMoves, 0);

/**
 * Plans the next map in slices of about equal processor time, so that the caller can do other work between
 * them.
 *
 * @param current - map in force
 * @param shares - share of the tokens that each expert gets, by set
 * @param options - limits of maps and of the plan
 * @returns a generator that yields after each slice and returns the plan; its map equals the one in force when
 * no move gains enough
 */
export const planInSlices = function*(
    current: ExpertPlacement,
    shares: readonly (readonly number[])[],
    options: ImprovePlacementOptions,
): Generator<undefined, PlacementPlan> {
    const { limits, maxCopiesPerRank, slowness = [], tolerance } = options;
    const newCopiesByRank = new Int32Array(current[0]?.length ?? 0);
    const planners = current.map((experts, set) =>
        new ExpertSetPlanner({
            experts,
            limits,
            maxCopiesPerRank,
            newCopiesByRank,
            slowness,
            shares: shares[set] ?? [],
        })
    );
    const skewBefore = skewOfPlanners(planners);
    // Each move goes to the set that is the most uneven at that time: if one set after the other were finished,
    // the limited number of new copies for each rank would be used up before the last sets.
    const improvable = new Set(planners);
    let sliceEnd = MOVES_PER_SLICE;
    for (let next = mostUneven(improvable); next; next = mostUneven(improvable)) {
        if (next.relativePeak <= 1 + tolerance) {
            break;
        }
        if (!next.applyBestMove()) {
            improvable.delete(next);
        }
        const evaluatedMoves = countEvaluatedMoves(planners);
        if (evaluatedMoves >= sliceEnd) {
            sliceEnd = evaluatedMoves + MOVES_PER_SLICE;
            yield;
        }
    }
    return {
        placement: planners.map(planner => planner.placement()),
        copies: newCopiesByRank.reduce((sum, count) => sum + count, 0),
        copiesOfFullestRank: newCopiesByRank.reduce((most, count) => Math.max(most, count), 0),
        skewBefore,
        skewAfter: skewOfPlanners(planners),
        evaluatedMoves: countEvaluatedMoves(planners),
    };
};

/**
 * Plans the next map at once.
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
    const slices = planInSlices(current, shares, options);
    let step = slices.next();
    while (!step.done) {
        step = slices.next();
    }
    return step.value;
};
