/**
 * Lower bound on the load of the fullest rank, from the same counts, with perfect knowledge and free moves.
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
        const middle = (low + high) / 2;
        if (copiesNeeded(loads, middle) <= slots) {
            high = middle;
        }
        else {
            low = middle;
        }
    }
    return low;
};

/**
 * Bounds the loads of every possible map: no rank of a layer can be below the mean, and an expert whose load exceeds
 * the limit of one rank needs more copies, for which there are only so many slots.
 *
 * @param shape - size of the group
 * @param counts - tokens of each expert in each layer
 * @returns sums over the layers
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
