/**
 * Expert maps: which rank holds which copies of which experts, and how tokens are split over the copies.
 *
 * @packageDocumentation
 */

/** Dimensions of a group of ranks. */
export interface GroupShape {
    /** Number of ranks. */
    readonly ranks: number;
    /** Number of experts in each layer. */
    readonly experts: number;
    /** Number of layers with experts. */
    readonly layers: number;
    /** Expert copies that a rank has memory for, in each layer. */
    readonly slotsPerRank: number;
}

/** One expert map. Both arrays are indexed by layer, then rank, then slot. */
export interface ExpertMap {
    /** Dimensions of the group. */
    readonly shape: GroupShape;
    /** Expert that each slot holds. */
    readonly experts: Uint16Array;
    /**
     * Share of the expert's tokens that goes to each slot; the shares of one expert in one layer add up to 1.
     */
    readonly shares: Float32Array;
}

/** Token counts or loads by layer, then expert. */
export type ExpertLoads = Float64Array;

/**
 * Counts the slots of one layer.
 *
 * @param shape - dimensions of the group
 * @returns number of slots over all ranks
 */
export const slotsPerLayer = (shape: GroupShape): number => shape.ranks * shape.slotsPerRank;

/**
 * Creates an empty map.
 *
 * @param shape - dimensions of the group
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
 * @returns a copy that shares no arrays with the original
 */
export const copyExpertMap = (map: ExpertMap): ExpertMap => ({
    shape: map.shape,
    experts: map.experts.slice(),
    shares: map.shares.slice(),
});
