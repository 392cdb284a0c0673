/**
 * Costs of a map: the load of the most loaded rank in each layer, and the copies that a map switch loads.
 *
 * @packageDocumentation
 */

import { type ExpertLoads, type ExpertMap, slotsPerLayer } from "../../types/expertMap.ts";
import { sumRankLoads, viewLayer } from "./layerView.ts";

/** Loads of a map over all layers. */
export interface MapLoad {
    /** Sum over layers of the load of the most loaded rank. */
    readonly peak: number;
    /** Sum over layers of the mean load of the ranks. */
    readonly mean: number;
}

/**
 * Adds up the loads of a map. Every layer ends with an all-to-all exchange between the ranks, so the most
 * loaded rank of each layer determines the duration of that layer.
 *
 * @param map - the map
 * @param loads - load of each expert in each layer
 * @returns the sums
 */
export const measureMap = (map: ExpertMap, loads: ExpertLoads): MapLoad => {
    const rankLoads = new Float64Array(map.shape.ranks);
    let peak = 0;
    let total = 0;
    for (let layer = 0; layer < map.shape.layers; layer++) {
        sumRankLoads(viewLayer(map, loads, layer), rankLoads);
        let layerPeak = 0;
        for (let rank = 0; rank < rankLoads.length; rank++) {
            total += rankLoads[rank]!;
            layerPeak = Math.max(layerPeak, rankLoads[rank]!);
        }
        peak += layerPeak;
    }
    return { peak, mean: total / map.shape.ranks };
};

/**
 * Counts the copies that each rank must load for a map switch. A copy that the rank already holds in any slot
 * of the layer is not loaded again.
 *
 * @param from - map in force
 * @param to - next map
 * @returns number of copies by rank
 */
export const countLoadedCopies = (from: ExpertMap, to: ExpertMap): Uint32Array => {
    const { shape } = to;
    const copies = new Uint32Array(shape.ranks);
    const slots = slotsPerLayer(shape);
    for (let layer = 0; layer < shape.layers; layer++) {
        for (let rank = 0; rank < shape.ranks; rank++) {
            const first = layer * slots + rank * shape.slotsPerRank;
            const held = from.experts.subarray(first, first + shape.slotsPerRank);
            for (let slot = first; slot < first + shape.slotsPerRank; slot++) {
                if (!held.includes(to.experts[slot]!)) {
                    copies[rank]!++;
                }
            }
        }
    }
    return copies;
};
