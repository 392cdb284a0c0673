/**
 * View of one layer of an expert map with the loads of its experts, for the placement algorithms.
 *
 * @packageDocumentation
 */

import { type ExpertLoads, type ExpertMap, slotsPerLayer } from "../../types/expertMap.ts";

/** One layer, as subarrays of the map's arrays and of the loads. */
export interface LayerView {
    /** Number of ranks in the group. */
    readonly ranks: number;
    /** Number of slots of each rank. */
    readonly slotsPerRank: number;
    /** Expert in each slot. */
    readonly experts: Uint16Array;
    /** Share of its expert's tokens that each slot gets. */
    readonly shares: Float32Array;
    /** Load of each expert. */
    readonly loads: Float64Array;
}

/**
 * Creates a view of one layer; changes to its experts and shares change the map.
 *
 * @param map - the map
 * @param loads - loads of all layers
 * @param layer - number of the layer
 * @returns the view
 */
export const viewLayer = (map: ExpertMap, loads: ExpertLoads, layer: number): LayerView => {
    const { shape } = map;
    const slots = slotsPerLayer(shape);
    return {
        ranks: shape.ranks,
        slotsPerRank: shape.slotsPerRank,
        experts: map.experts.subarray(layer * slots, (layer + 1) * slots),
        shares: map.shares.subarray(layer * slots, (layer + 1) * slots),
        loads: loads.subarray(layer * shape.experts, (layer + 1) * shape.experts),
    };
};

/**
 * Adds up the load of each rank.
 *
 * @param view - the layer
 * @param rankLoads - array for the result, with one element for each rank
 * @returns the same array
 */
export const sumRankLoads = (view: LayerView, rankLoads: Float64Array): Float64Array => {
    const { slotsPerRank, experts, shares, loads } = view;
    for (let rank = 0, slot = 0; rank < view.ranks; rank++) {
        let sum = 0;
        for (const end = slot + slotsPerRank; slot < end; slot++) {
            sum += loads[experts[slot]!]! * shares[slot]!;
        }
        rankLoads[rank] = sum;
    }
    return rankLoads;
};

/**
 * Finds the index of the largest number.
 *
 * @param values - numbers
 * @returns the index of the first largest one
 */
export const indexOfLargest = (values: Float64Array): number => {
    let best = 0;
    for (let index = 1; index < values.length; index++) {
        if (values[index]! > values[best]!) {
            best = index;
        }
    }
    return best;
};
