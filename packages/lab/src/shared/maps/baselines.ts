/**
 * Policies to compare with.
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

const decisionFor = (situation: MapSituation, map: ExpertMap, reason: string): MapDecision => ({
    map,
    copies: countLoadedCopies(situation.map, map).reduce((sum, copies) => sum + copies, 0),
    gainMsPerStep: 0,
    reason,
});

const planFully = (situation: MapSituation, shares: ExpertLoads, reason: string): MapDecision =>
    decisionFor(situation, planMap(situation.map.shape, shares), reason);

/** Never changes the map. */
export const createNeverMove = (): MapPolicy => ({ name: "neverMove", decide: () => undefined });

/** Plans from scratch at every chance. */
export const createAlwaysMove = (): MapPolicy => ({
    name: "alwaysMove",
    decide: situation => planFully(situation, situation.popularity.shares(), "every chance"),
});

const DEFAULT_THRESHOLD_SKEW = 1.2;

/**
 * Plans from scratch when the expected skew exceeds a threshold.
 *
 * @param options - the threshold
 * @returns the policy
 */
export const createThresholdMove = (options: { readonly skew?: number; } = {}): MapPolicy => ({
    name: "fixedThreshold",
    decide: situation => {
        const shares = situation.popularity.shares();
        const { peak, mean } = measureMap(situation.map, shares);
        const isSkewed = peak / mean > (options.skew ?? DEFAULT_THRESHOLD_SKEW);
        return isSkewed ? planFully(situation, shares, "above the threshold") : undefined;
    },
});

/** Replicates hot experts wherever that lowers the expected skew, whatever it costs. */
export const createGreedyReplication = (): MapPolicy => ({
    name: "greedyReplication",
    decide: situation => {
        const shares = situation.popularity.shares();
        const { rebalanced, layerPlans } = improveMap(situation.map, shares, {
            loadPerCopy: 0,
            tolerance: 0,
        });
        if (layerPlans.length === 0) {
            return undefined;
        }
        return decisionFor(situation, applyPlans(rebalanced, shares, layerPlans), "lower skew");
    },
});
