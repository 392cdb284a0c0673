/**
 * Stand-in of a group of ranks in lock-step: the time of a step follows from the tokens of each expert and the map.
 *
 * @packageDocumentation
 */

import {
    countLoadedCopies,
    type ExpertLoads,
    type ExpertMap,
    type GroupCosts,
    type GroupShape,
    measureMap,
} from "@magnolialock/maps";

/** Tokens that each rank brings into a step. */
const TOKENS_PER_RANK = 1_024;
const EXPERTS_PER_TOKEN = 8;
const ASSIGNMENT_MS = 0.000_06;
const FIXED_STEP_MS = 30;
const EXPERT_BYTES = 44_040_192;
const STORE_BYTES_PER_S = 4_000_000_000;
const LOAD_SLOWDOWN = 0.02;
const TAKE_IN_MS = 1.8;

/**
 * Tokens that a group finishes in one step.
 *
 * @param shape - size of the group
 * @returns tokens
 */
export const tokensPerStep = (shape: GroupShape): number => shape.ranks * TOKENS_PER_RANK;

/**
 * Costs of the stand-in group.
 *
 * @param shape - size of the group
 * @returns the costs
 */
export const standInCosts = (shape: GroupShape): GroupCosts => ({
    assignmentsPerStep: tokensPerStep(shape) * EXPERTS_PER_TOKEN,
    assignmentMs: ASSIGNMENT_MS,
    fixedStepMs: FIXED_STEP_MS,
    expertBytes: EXPERT_BYTES,
    storeBytesPerS: STORE_BYTES_PER_S,
    loadSlowdown: LOAD_SLOWDOWN,
    takeInMs: TAKE_IN_MS,
});

/** One step of a group. */
export interface StepTime {
    /** Time of the step, in milliseconds. */
    readonly stepMs: number;
    /** Time of the slowest rank in the experts of each layer, over the mean of the ranks. */
    readonly skew: number;
}

/** Options of {@link measureStep}. */
export interface MeasureStepOptions {
    /** Map that the step runs on. */
    readonly map: ExpertMap;
    /** Tokens of each expert in this step, by layer. */
    readonly counts: ExpertLoads;
    /** Costs of the group. */
    readonly costs: GroupCosts;
    /** Whether copies are being loaded. */
    readonly isLoading?: boolean;
}

/**
 * Time of a step whose layers have given loads.
 *
 * @param costs - costs of the group
 * @param peak - sum over layers of the load of the fullest rank
 * @param isLoading - whether copies are being loaded
 * @returns milliseconds
 */
export const stepTimeMs = (costs: GroupCosts, peak: number, isLoading = false): number =>
    (costs.fixedStepMs + costs.assignmentMs * peak) * (isLoading ? 1 + costs.loadSlowdown : 1);

/**
 * Runs one step.
 *
 * @param options - map, counts and costs
 * @returns its time and skew
 */
export const measureStep = ({ map, counts, costs, isLoading }: MeasureStepOptions): StepTime => {
    const { peak, mean } = measureMap(map, counts);
    return { stepMs: stepTimeMs(costs, peak, isLoading), skew: peak / mean };
};

/** Steps for which a group stands still at a change of map, apart from copies that it takes in. */
const SWITCH_STEPS = 1;

/**
 * Time for which a group stands still at a change of map. Ranks take in their copies side by side.
 *
 * @param from - map in force
 * @param to - next map
 * @param costs - costs of the group
 * @param stepMs - time of a step, in milliseconds
 * @returns milliseconds
 */
export const switchStallMs = (from: ExpertMap, to: ExpertMap, costs: GroupCosts, stepMs: number): number =>
    SWITCH_STEPS * stepMs + costs.takeInMs * Math.max(...countLoadedCopies(from, to));
