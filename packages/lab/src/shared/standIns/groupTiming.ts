/**
 * Simulated timing of a group of ranks in lockstep: the duration of a step follows from the tokens of each
 * expert and from the expert map.
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

/** Number of tokens that each rank processes in a step. */
const TOKENS_PER_RANK = 1_024;
const EXPERTS_PER_TOKEN = 8;
/** Time that a rank needs for one token in one expert, in milliseconds. */
const ASSIGNMENT_MS = 0.000_06;
const FIXED_STEP_MS = 30;
const EXPERT_BYTES = 44_040_192;
const STORE_BYTES_PER_S = 4_000_000_000;
/** Relative increase of the step duration while copies are loading. */
const LOADING_SLOWDOWN = 0.02;
/** Time that a rank needs to install a loaded copy, in milliseconds. */
const COPY_INSTALL_MS = 1.8;

/**
 * Returns the number of tokens that a group processes in one step.
 *
 * @param shape - size of the group
 * @returns number of tokens
 */
export const tokensPerStep = (shape: GroupShape): number => shape.ranks * TOKENS_PER_RANK;

/**
 * Returns the costs of the simulated group.
 *
 * @param shape - size of the group
 * @returns costs of a step, of loading a copy and of installing it
 */
export const createGroupCosts = (shape: GroupShape): GroupCosts => ({
    assignmentsPerStep: tokensPerStep(shape) * EXPERTS_PER_TOKEN,
    assignmentMs: ASSIGNMENT_MS,
    fixedStepMs: FIXED_STEP_MS,
    expertBytes: EXPERT_BYTES,
    storeBytesPerS: STORE_BYTES_PER_S,
    loadSlowdown: LOADING_SLOWDOWN,
    installMs: COPY_INSTALL_MS,
});

/** Duration and load imbalance of one step. */
export interface StepTime {
    /** Duration of the step, in milliseconds. */
    readonly stepMs: number;
    /** Sum over the layers of the load of the most loaded rank, divided by the same sum of the mean load. */
    readonly skew: number;
}

/** Options of {@link measureStep}. */
export interface MeasureStepOptions {
    /** Expert map in force during the step. */
    readonly map: ExpertMap;
    /** Number of tokens of each expert in this step, by layer. */
    readonly counts: ExpertLoads;
    /** Costs of the group. */
    readonly costs: GroupCosts;
    /** Whether the ranks are loading copies. */
    readonly isLoading?: boolean;
}

/**
 * Computes the duration of a step from the loads of its layers.
 *
 * @param costs - costs of the group
 * @param peakLoad - load of the most loaded rank of each layer, summed over the layers
 * @param isLoading - whether the ranks are loading copies
 * @returns duration, in milliseconds
 */
export const stepTimeMs = (costs: GroupCosts, peakLoad: number, isLoading = false): number =>
    (costs.fixedStepMs + costs.assignmentMs * peakLoad) * (isLoading ? 1 + costs.loadSlowdown : 1);

/**
 * Simulates one step.
 *
 * @param options - map, token counts and costs
 * @returns duration and load imbalance of the step
 */
export const measureStep = ({ map, counts, costs, isLoading }: MeasureStepOptions): StepTime => {
    const { peak, mean } = measureMap(map, counts);
    return { stepMs: stepTimeMs(costs, peak, isLoading), skew: peak / mean };
};

/** Duration for which a group stalls at a change of map, in steps, without the installation of copies. */
const STALLED_STEPS_PER_SWITCH = 1;

/**
 * Computes how long a group stalls at a change of map. The ranks install their copies in parallel, so that
 * the rank with the most copies decides.
 *
 * @param from - map in force
 * @param to - next map
 * @param costs - costs of the group
 * @param stepMs - duration of a step, in milliseconds
 * @returns duration of the stall, in milliseconds
 */
export const switchStallMs = (from: ExpertMap, to: ExpertMap, costs: GroupCosts, stepMs: number): number =>
    STALLED_STEPS_PER_SWITCH * stepMs + costs.installMs * Math.max(...countLoadedCopies(from, to));
