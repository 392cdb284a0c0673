/**
 * Lower bound on the load of the most loaded rank for the same token counts, assuming perfect knowledge and
 * moves without cost.
 *
 * @packageDocumentation
 */

import type { ExpertLoads, GroupShape, MapLoad } from "@magnolialock/maps";

const SEARCH_STEPS = 24;

const copiesNeeded = (loads: Float64Array, limit: number): number =>
    loads.reduce((sum, load) => sum + Math.max(1, Math.ceil(load / limit)), 0);

const boundLayer = (loads: Float64Array, ranks: number, slots: number): number => {
    const total = loads.reduce((sum, load) => sum + load, 0);
    let low = total / ranks;
    if (copiesNeeded(loads, low) <= slots) {
        return low;
    }
    let high = total;
    for (let step = 0; step < SEARCH_STEPS; step++) {
        const limit = (low + high) / 2;
        if (copiesNeeded(loads, limit) <= slots) {
            high = limit;
        }
        else {
            low = limit;
        }
    }
    return low;
};

/**
 * Bounds the load that every possible map causes: in each layer, the most loaded rank cannot be below the
 * mean, and an expert whose load exceeds the limit of one rank needs more copies, whose number is limited by
 * the slots.
 *
 * @param shape - size of the group
 * @param counts - tokens of each expert in each layer
 * @returns bound on the peak load, and mean load, in tokens; both are sums over the layers
 */
export const boundMapLoad = (shape: GroupShape, counts: ExpertLoads): MapLoad => {
    const slots = shape.ranks * shape.slotsPerRank;
    let peak = 0;
    let total = 0;
    for (let layer = 0; layer < shape.layers; layer++) {
        const loads = counts.subarray(layer * shape.experts, (layer + 1) * shape.experts);
        peak += boundLayer(loads, shape.ranks, slots);
        total += loads.reduce((sum, load) => sum + load, 0);
    }
    return { peak, mean: total / shape.ranks };
};
