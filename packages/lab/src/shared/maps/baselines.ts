/**
 * Baseline policies that the experiment compares with the product's policy.
 *
 * @packageDocumentation
 */

import {
    applyPlans,
    countLoadedCopies,
    type ExpertLoads,
    type ExpertMap,
    improveMap,
    type MapDecision,
    type MapPolicy,
    type MapSituation,
    measureMap,
    planMap,
} from "@magnolialock/maps";

const createDecision = (situation: MapSituation, map: ExpertMap, reason: string): MapDecision => ({
    map,
    copies: countLoadedCopies(situation.map, map).reduce((sum, copies) => sum + copies, 0),
    gainMsPerStep: 0,
    reason,
});

const createFullPlan = (situation: MapSituation, shares: ExpertLoads, reason: string): MapDecision =>
    createDecision(situation, planMap(situation.map.shape, shares), reason);

/**
 * Creates a policy that never changes the map.
 *
 * @returns the policy
 */
export const createNeverMove = (): MapPolicy => ({ name: "neverMove", decide: () => undefined });

/**
 * Creates a policy that makes a full plan at every decision point.
 *
 * @returns the policy
 */
export const createAlwaysMove = (): MapPolicy => ({
    name: "alwaysMove",
    decide: situation => createFullPlan(situation, situation.popularity.shares(), "every decision point"),
});

const DEFAULT_THRESHOLD_SKEW = 1.2;

/**
 * Creates a policy that makes a full plan when the expected skew exceeds a threshold.
 *
 * @param options - threshold of the skew: load of the most loaded rank ÷ mean
 * @returns the policy
 */
export const createThresholdMove = (options: { readonly skew?: number; } = {}): MapPolicy => ({
    name: "fixedThreshold",
    decide: situation => {
        const shares = situation.popularity.shares();
        const { peak, mean } = measureMap(situation.map, shares);
        const isSkewed = peak / mean > (options.skew ?? DEFAULT_THRESHOLD_SKEW);
        return isSkewed ? createFullPlan(situation, shares, "skew above the threshold") : undefined;
    },
});

/**
 * Creates a policy that replicates hot experts wherever that lowers the expected skew, regardless of cost.
 *
 * @returns the policy
 */
export const createGreedyReplication = (): MapPolicy => ({
    name: "greedyReplication",
    decide: situation => {
        const shares = situation.popularity.shares();
        const { rebalanced, layerPlans } = improveMap(situation.map, shares, {
            minLoadReductionPerCopy: 0,
            tolerance: 0,
        });
        if (layerPlans.length === 0) {
            return undefined;
        }
        return createDecision(situation, applyPlans(rebalanced, shares, layerPlans), "lower skew");
    },
});
