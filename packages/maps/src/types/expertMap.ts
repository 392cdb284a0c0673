/**
 * Expert maps: which rank holds which copies of which experts, and how tokens are split over the copies.
 *
 * @packageDocumentation
 */

/** Size of a group of ranks. */
export interface GroupShape {
    /** Ranks in the group. */
    readonly ranks: number;
    /** Experts in each layer. */
    readonly experts: number;
    /** Layers with experts. */
    readonly layers: number;
    /** Expert copies that a rank has memory for, in each layer. */
    readonly slotsPerRank: number;
}

/**
 * One expert map. Both arrays are indexed by layer, then rank, then slot.
 */
export interface ExpertMap {
    /** Size of the group. */
    readonly shape: GroupShape;
    /** Expert that each slot holds. */
    readonly experts: Uint16Array;
    /** Share of the expert's tokens that goes to each slot; the shares of one expert in one layer add up to 1. */
    readonly shares: Float32Array;
}

/** Token counts or loads by layer, then expert. */
export type ExpertLoads = Float64Array;

/**
 * Number of slots in one layer.
 *
 * @param shape - size of the group
 * @returns slots over all ranks
 */
export const slotsPerLayer = (shape: GroupShape): number => shape.ranks * shape.slotsPerRank;

/**
 * Creates an empty map.
 *
 * @param shape - size of the group
 * @returns a map whose slots all hold expert 0 with share 0
 */
export const createExpertMap = (shape: GroupShape): ExpertMap => ({
    shape,
    experts: new Uint16Array(shape.layers * slotsPerLayer(shape)),
    shares: new Float32Array(shape.layers * slotsPerLayer(shape)),
});

/**
 * Copies a map.
 *
 * @param map - the map
 * @returns a map with arrays of its own
 */
export const copyExpertMap = (map: ExpertMap): ExpertMap => ({
    shape: map.shape,
    experts: map.experts.slice(),
    shares: map.shares.slice(),
});
