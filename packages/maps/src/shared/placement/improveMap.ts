/**
 * Incremental plan: the fewest new copies that bring an existing map close to balance.
 *
 * @packageDocumentation
 */

import { copyExpertMap, type ExpertLoads, type ExpertMap } from "../../types/expertMap.ts";
import { balanceShares } from "./balanceShares.ts";
import { applyMove, copiesOf, findBestMove, type LayerMove } from "./layerMoves.ts";
import { indexOfLargest, type LayerView, viewLayer } from "./layerView.ts";

/** What moving copies of a layer would bring. */
export interface LayerPlan {
    /** Number of the layer. */
    readonly layer: number;
    /** Moves to carry out, in order. */
    readonly moves: readonly LayerMove[];
    /** Copies that the moves load. */
    readonly copies: number;
    /** Load that the fullest rank loses by the moves, beyond what new shares alone bring. */
    readonly loadGain: number;
}

/** Options of {@link improveMap}. */
export interface ImproveMapOptions {
    /** Load that one more copy must take off the fullest rank to be worth its cost. */
    readonly loadPerCopy: number;
    /** Most moves of a layer in one plan. */
    readonly maxMovesPerLayer?: number;
    /** Excess of the fullest rank over the mean that is left alone, as a share of the mean. */
    readonly tolerance?: number;
}

/** An improved map and what it would bring. */
export interface ImprovedMap {
    /** Map with new shares only; it loads nothing. */
    readonly rebalanced: ExpertMap;
    /** Layers that are worth moving, the best gain for each copy first. */
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
        const canPay = startPeak - mean - (copies + 1) * options.loadPerCopy > bestNet;
        const isFull = rankLoads[hotRank]! > target && canPay;
        const move = isFull ? findBestMove(trial, rankLoads, hotRank) : undefined;
        if (!move) {
            break;
        }
        applyMove(trial, move);
        moves.push(move);
        copies += copiesOf(move);
        rankLoads = balanceShares(trial, { sweeps: TRIAL_SWEEPS });
        const loadGain = startPeak - Math.max(...rankLoads);
        const net = loadGain - copies * options.loadPerCopy;
        if (net > bestNet) {
            bestNet = net;
            best = { layer, moves: [...moves], copies, loadGain };
        }
    }
    return best;
};

/**
 * Looks for the moves of each layer whose gain exceeds their cost.
 *
 * @param map - map in force
 * @param loads - load of each expert in each layer
 * @param options - cost of a copy and limits
 * @returns the map with new shares, and the layers worth moving
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
 * Carries out plans on a copy of a map and balances the shares of the layers concerned.
 *
 * @param map - map with new shares
 * @param loads - load of each expert in each layer
 * @param plans - layers to move
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
