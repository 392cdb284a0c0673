/**
 * Decides when a map switch is worth its cost.
 *
 * The policy covers two load levels. In a quiet group passes are short with any map, so copies are pure cost;
 * in a busy group each tenth of skew makes streams late.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import type { ExpertPlacement } from "../types/rankServer.ts";
import { type PlacementPlan, planInSlices, skewOf } from "./improvePlacement.ts";

/**
 * Pass duration from which a group counts as busy, in milliseconds: at 120 ms streams are late, and a map
 * switch takes half a second.
 */
const BUSY_PASS_MS = 70;
/**
 * Pass duration assumed before the first measurement: a busy group, since late streams cost more than copies.
 */
const ASSUMED_PASS_MS = Number.POSITIVE_INFINITY;
/** Skew below which a busy group keeps its map; copies for a lower skew would follow random variation. */
const BUSY_SKEW_THRESHOLD = 1.25;
/**
 * Skew below which a quiet group keeps its map; at a higher skew the next burst would be late before a switch
 * is done.
 */
const QUIET_SKEW_THRESHOLD = 2.2;
/**
 * Excess load of the most loaded rank over the mean that a plan may leave, by pass duration: the last copies
 * cost most and save least, and short passes are in time even on an uneven map.
 */
const TOLERANCES = [
    { fromPassMs: 90, tolerance: 0.15 },
    { fromPassMs: BUSY_PASS_MS, tolerance: 0.3 },
    { fromPassMs: 0, tolerance: 0.6 },
] as const;
/** Least reduction of skew that justifies a plan: a switch involves all ranks. */
const MIN_SKEW_REDUCTION = 0.1;
/**
 * Further reduction of skew required for each millisecond of copying, since copies have a price and slow
 * passes down.
 */
const SKEW_REDUCTION_PER_COPY_MS = 5.6e-5;
/**
 * Longest time that one rank copies for one plan, in milliseconds: the plan must still fit when the copies
 * are done.
 */
const COPY_BUDGET_MS = 280;
/** Copies that a rank may load for one plan even if they take longer; with fewer, plans hardly reduce the skew. */
const MIN_COPIES_PER_RANK = 3;

/** What a leader knows when it decides about the next map. */
export interface RebalancingInput {
    /** Map in force. */
    readonly current: ExpertPlacement;
    /** Share of the tokens that each expert gets, by set. */
    readonly shares: readonly (readonly number[])[];
    /** Factor by which each rank is slower than its nominal speed. */
    readonly slowness: readonly number[];
    /** Limits of maps. */
    readonly limits: ExpertSpec;
    /** Mean duration of a pass, in milliseconds; undefined before the first measurement. */
    readonly passMs: number | undefined;
}

/**
 * Tells whether the skew justifies planning a new map.
 *
 * @param skew - load of the most loaded ranks over the mean
 * @param passMs - mean duration of a pass, in milliseconds; undefined before the first measurement
 */
export const needsRebalancing = (skew: number, passMs = ASSUMED_PASS_MS): boolean =>
    skew >= (passMs >= BUSY_PASS_MS ? BUSY_SKEW_THRESHOLD : QUIET_SKEW_THRESHOLD);

/**
 * Chooses how much imbalance a plan may leave.
 *
 * @param passMs - mean duration of a pass, in milliseconds; undefined before the first measurement
 * @returns excess load of the most loaded rank over the mean, as a share of the mean
 */
export const imbalanceTolerance = (passMs = ASSUMED_PASS_MS): number =>
    TOLERANCES.find(({ fromPassMs }) => passMs >= fromPassMs)?.tolerance ?? 0;

/**
 * Tells whether the reduction of skew justifies the copies of a plan.
 *
 * @param plan - the plan
 * @param copyMs - time that a rank takes to copy one expert, in milliseconds
 */
export const isWorthCopying = (
    plan: Pick<PlacementPlan, "copies" | "skewAfter" | "skewBefore">,
    copyMs: number,
): boolean =>
    plan.skewBefore - plan.skewAfter
        >= MIN_SKEW_REDUCTION + plan.copies * copyMs * SKEW_REDUCTION_PER_COPY_MS;

/**
 * Plans the next map if the group needs one and the plan is worth its copies.
 *
 * @param input - map in force, demand and limits
 * @param pause - waits between two slices of the plan, so that calls of other agents are answered
 * @returns the plan; undefined if the group keeps its map
 */
export const planRebalancing = async (
    input: RebalancingInput,
    pause: () => Promise<void>,
): Promise<PlacementPlan | undefined> => {
    const { current, limits, passMs, shares, slowness } = input;
    if (!needsRebalancing(skewOf(current, shares, slowness), passMs)) {
        return undefined;
    }
    const slices = planInSlices(current, shares, {
        limits,
        slowness,
        maxCopiesPerRank: Math.max(MIN_COPIES_PER_RANK, Math.floor(COPY_BUDGET_MS / limits.copyMs)),
        tolerance: imbalanceTolerance(passMs),
    });
    let step = slices.next();
    while (!step.done) {
        await pause();
        step = slices.next();
    }
    const plan = step.value;
    return isWorthCopying(plan, limits.copyMs) ? plan : undefined;
};
