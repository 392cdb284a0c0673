/**
 * Incremental planning: improves the balance of an existing map with few new copies.
 *
 * @packageDocumentation
 */

import { copyExpertMap, type ExpertLoads, type ExpertMap } from "../../types/expertMap.ts";
import { balanceShares } from "./balanceShares.ts";
import { applyMove, copiesLoadedBy, findBestMove, type LayerMove } from "./layerMoves.ts";
import { indexOfLargest, type LayerView, viewLayer } from "./layerView.ts";

/** Planned moves of one layer, with their cost and gain. */
export interface LayerPlan {
    /** Number of the layer. */
    readonly layer: number;
    /** Moves to carry out, in order. */
    readonly moves: readonly LayerMove[];
    /** Number of copies that the moves load. */
    readonly copies: number;
    /** Load that the moves take off the most loaded rank, beyond what new shares alone achieve. */
    readonly loadGain: number;
}

/** Options of {@link improveMap}. */
export interface ImproveMapOptions {
    /** Load that each further copy must take off the most loaded rank to be worth its cost. */
    readonly minLoadReductionPerCopy: number;
    /** Most moves of a layer in one plan. */
    readonly maxMovesPerLayer?: number;
    /** Excess load of the most loaded rank over the mean that needs no move, as a share of the mean. */
    readonly tolerance?: number;
}

/** Result of {@link improveMap}. */
export interface ImprovedMap {
    /** Map with new shares only; it loads no copies. */
    readonly rebalanced: ExpertMap;
    /** Plans of the layers whose moves are worth their cost, in descending order of gain per copy. */
    readonly layerPlans: readonly LayerPlan[];
}

const DEFAULT_MAX_MOVES = 8;
const DEFAULT_TOLERANCE = 0.01;
const TRIAL_SWEEPS = 3;

const copyView = (view: LayerView): LayerView => ({
    ...view,
    experts: view.experts.slice(),
    shares: view.shares.slice(),
});

const planLayer = (view: LayerView, layer: number, options: ImproveMapOptions): LayerPlan => {
    const trial = copyView(view);
    const moves: LayerMove[] = [];
    let rankLoads = balanceShares(trial);
    const startPeak = Math.max(...rankLoads);
    const mean = rankLoads.reduce((sum, load) => sum + load, 0) / trial.ranks;
    const target = mean * (1 + (options.tolerance ?? DEFAULT_TOLERANCE));
    let best: LayerPlan = { layer, moves: [], copies: 0, loadGain: 0 };
    let bestNet = 0;
    let copies = 0;
    while (moves.length < (options.maxMovesPerLayer ?? DEFAULT_MAX_MOVES)) {
        const hotRank = indexOfLargest(rankLoads);
        const canGainMore = startPeak - mean - (copies + 1) * options.minLoadReductionPerCopy > bestNet;
        const isWorthTrying = rankLoads[hotRank]! > target && canGainMore;
        const move = isWorthTrying ? findBestMove(trial, rankLoads, hotRank) : undefined;
        if (!move) {
            break;
        }
        applyMove(trial, move);
        moves.push(move);
        copies += copiesLoadedBy(move);
        rankLoads = balanceShares(trial, { sweeps: TRIAL_SWEEPS });
        const loadGain = startPeak - Math.max(...rankLoads);
        const net = loadGain - copies * options.minLoadReductionPerCopy;
        if (net > bestNet) {
            bestNet = net;
            best = { layer, moves: [...moves], copies, loadGain };
        }
    }
    return best;
};

/**
 * Searches each layer for moves whose gain exceeds their cost.
 *
 * @param map - map in force
 * @param loads - load of each expert in each layer
 * @param options - cost of a copy and limits
 * @returns the map with new shares, and the plans of layers that are worth their cost
 */
export const improveMap = (map: ExpertMap, loads: ExpertLoads, options: ImproveMapOptions): ImprovedMap => {
    const rebalanced = copyExpertMap(map);
    const layerPlans: LayerPlan[] = [];
    for (let layer = 0; layer < map.shape.layers; layer++) {
        const view = viewLayer(rebalanced, loads, layer);
        balanceShares(view);
        const plan = planLayer(view, layer, options);
        if (plan.copies > 0) {
            layerPlans.push(plan);
        }
    }
    layerPlans.sort((left, right) =>
        right.loadGain / right.copies - left.loadGain / left.copies || left.layer - right.layer
    );
    return { rebalanced, layerPlans };
};

/**
 * Applies plans to a copy of a map and balances the shares of the changed layers.
 *
 * @param map - map with new shares
 * @param loads - load of each expert in each layer
 * @param plans - plans to apply
 * @returns the new map
 */
export const applyPlans = (map: ExpertMap, loads: ExpertLoads, plans: readonly LayerPlan[]): ExpertMap => {
    const result = copyExpertMap(map);
    for (const plan of plans) {
        const view = viewLayer(result, loads, plan.layer);
        for (const move of plan.moves) {
            applyMove(view, move);
        }
        balanceShares(view);
    }
    return result;
};
