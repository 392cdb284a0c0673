/**
 * Planning of an expert map from scratch.
 *
 * @packageDocumentation
 */

import { createExpertMap, type ExpertLoads, type ExpertMap, type GroupShape } from "../../types/expertMap.ts";
import { balanceShares, spreadEvenly } from "./balanceShares.ts";
import { chooseCopyCounts } from "./copyCounts.ts";
import { type LayerView, viewLayer } from "./layerView.ts";

/** Options of {@link planMap}. */
export interface PlanMapOptions {
    /** Whether shares are balanced over the copies of an expert instead of being equal; true by default. */
    readonly balancesShares?: boolean;
}

const listCopiesByLoad = (loads: Float64Array, copies: Uint16Array): number[] => {
    const order = Array.from(loads, (_, expert) => expert).sort((left, right) =>
        loads[right]! / copies[right]! - loads[left]! / copies[left]! || left - right
    );
    return order.flatMap(expert => Array<number>(copies[expert]!).fill(expert));
};

/**
 * Packs copies in descending order of load, each on the least loaded rank that has room and lacks the expert.
 */
class RankPacker {
    private readonly usedSlots: Uint16Array;
    private readonly rankLoads: Float64Array;

    public constructor(private readonly view: LayerView) {
        this.usedSlots = new Uint16Array(view.ranks);
        this.rankLoads = new Float64Array(view.ranks);
    }

    /** Places one copy. */
    public place(expert: number, load: number): void {
        const rank = this.findRank(expert);
        this.view.experts[rank * this.view.slotsPerRank + this.usedSlots[rank]!] = expert;
        this.usedSlots[rank]!++;
        this.rankLoads[rank]! += load;
    }

    private findRank(expert: number): number {
        let best = -1;
        let fallback = -1;
        for (let rank = 0; rank < this.view.ranks; rank++) {
            if (this.usedSlots[rank] === this.view.slotsPerRank) {
                continue;
            }
            fallback = rank;
            if ((best < 0 || this.rankLoads[rank]! < this.rankLoads[best]!) && !this.holds(rank, expert)) {
                best = rank;
            }
        }
        return best < 0 ? fallback : best;
    }

    private holds(rank: number, expert: number): boolean {
        const first = rank * this.view.slotsPerRank;
        for (let slot = first; slot < first + this.usedSlots[rank]!; slot++) {
            if (this.view.experts[slot] === expert) {
                return true;
            }
        }
        return false;
    }
}

const planLayer = (view: LayerView, balancesShares: boolean): void => {
    const copies = chooseCopyCounts(view.loads, view.experts.length, view.ranks);
    const packer = new RankPacker(view);
    for (const expert of listCopiesByLoad(view.loads, copies)) {
        packer.place(expert, view.loads[expert]! / copies[expert]!);
    }
    spreadEvenly(view);
    if (balancesShares) {
        balanceShares(view);
    }
};

/**
 * Plans a map from scratch: replicates hot experts, packs the copies onto ranks and balances their shares.
 * The result depends only on the arguments.
 *
 * @param shape - dimensions of the group
 * @param loads - load of each expert in each layer
 * @param options - whether shares are balanced
 * @returns the map
 */
export const planMap = (shape: GroupShape, loads: ExpertLoads, options: PlanMapOptions = {}): ExpertMap => {
    const map = createExpertMap(shape);
    for (let layer = 0; layer < shape.layers; layer++) {
        planLayer(viewLayer(map, loads, layer), options.balancesShares ?? true);
    }
    return map;
};

/**
 * Creates the map with which a group starts before any counts are known: experts in order, with the spare
 * slots filled round-robin.
 *
 * @param shape - dimensions of the group
 * @returns the map
 */
export const createInitialMap = (shape: GroupShape): ExpertMap => {
    const map = createExpertMap(shape);
    const noLoads = new Float64Array(shape.layers * shape.experts);
    const slots = shape.ranks * shape.slotsPerRank;
    for (let layer = 0; layer < shape.layers; layer++) {
        const view = viewLayer(map, noLoads, layer);
        for (let slot = 0; slot < slots; slot++) {
            const position = (slot % shape.slotsPerRank) * shape.ranks
                + Math.floor(slot / shape.slotsPerRank);
            // Spare copies are shifted by one rank, so that no rank holds two copies of an expert.
            view.experts[slot] = position < shape.experts ? position : (position + 1) % shape.experts;
        }
        spreadEvenly(view);
    }
    return map;
};
