/**
 * Distribution of the tokens of replicated experts over their copies, so that the ranks of a layer carry
 * equal load.
 *
 * @packageDocumentation
 */

import { type LayerView, sumRankLoads } from "./layerView.ts";

/** Slots of a layer, grouped by expert. */
export interface CopyIndex {
    /** Index in `slots` of the first slot of each expert; an additional last element marks the end. */
    readonly starts: Uint16Array;
    /** Slots, grouped by expert. */
    readonly slots: Uint16Array;
}

/**
 * Groups the slots of a layer by expert.
 *
 * @param view - the layer
 * @returns the index
 */
export const indexCopies = (view: LayerView): CopyIndex => {
    const { experts, loads } = view;
    const starts = new Uint16Array(loads.length + 1);
    for (const expert of experts) {
        starts[expert + 1]!++;
    }
    for (let expert = 0; expert < loads.length; expert++) {
        starts[expert + 1]! += starts[expert]!;
    }
    const next = starts.slice();
    const slots = new Uint16Array(experts.length);
    for (let slot = 0; slot < experts.length; slot++) {
        slots[next[experts[slot]!]!++] = slot;
    }
    return { starts, slots };
};

/**
 * Distributes an amount of load over ranks so that their highest load is as low as possible (water-filling).
 *
 * @param levels - load of each rank without the amount, in ascending order
 * @param amount - load to distribute
 * @returns load up to which the less loaded ranks are filled
 */
export const fillLevel = (levels: readonly number[], amount: number): number => {
    let sum = amount;
    let level = 0;
    for (let count = 0; count < levels.length; count++) {
        if (count > 0 && levels[count]! >= level) {
            break;
        }
        sum += levels[count]!;
        level = sum / (count + 1);
    }
    return level;
};

const splitExpert = (
    view: LayerView,
    slots: Uint16Array,
    load: number,
    rankLoads: Float64Array,
): void => {
    const levels: number[] = [];
    for (const slot of slots) {
        const rank = Math.floor(slot / view.slotsPerRank);
        rankLoads[rank]! -= load * view.shares[slot]!;
        levels.push(rankLoads[rank]!);
    }
    const level = fillLevel(levels.sort((left, right) => left - right), load);
    for (const slot of slots) {
        const rank = Math.floor(slot / view.slotsPerRank);
        const amount = Math.max(0, level - rankLoads[rank]!);
        view.shares[slot] = amount / load;
        rankLoads[rank]! += amount;
    }
};

const DEFAULT_SWEEPS = 8;

/**
 * Balances the shares of a layer expert by expert, in a fixed number of sweeps over all experts.
 *
 * @param view - the layer; its shares change
 * @param options - number of sweeps
 * @returns resulting load of each rank
 */
export const balanceShares = (view: LayerView, options: { readonly sweeps?: number; } = {}): Float64Array => {
    const rankLoads = sumRankLoads(view, new Float64Array(view.ranks));
    const { starts, slots } = indexCopies(view);
    for (let sweep = options.sweeps ?? DEFAULT_SWEEPS; sweep > 0; sweep--) {
        for (let expert = 0; expert < view.loads.length; expert++) {
            const copies = slots.subarray(starts[expert]!, starts[expert + 1]!);
            if (copies.length > 1 && view.loads[expert]! > 0) {
                splitExpert(view, copies, view.loads[expert]!, rankLoads);
            }
        }
    }
    return rankLoads;
};

/**
 * Gives all copies of each expert the same share.
 *
 * @param view - the layer; its shares change
 */
export const spreadEvenly = (view: LayerView): void => {
    const { starts } = indexCopies(view);
    for (let slot = 0; slot < view.experts.length; slot++) {
        const expert = view.experts[slot]!;
        view.shares[slot] = 1 / (starts[expert + 1]! - starts[expert]!);
    }
};
