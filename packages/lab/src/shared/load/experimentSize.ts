/**
 * Sizes of experiments, with the speed of the engines that the load is sized by.
 *
 * @packageDocumentation
 */

import { type FleetShape, LETREIRO_SHAPE } from "../fleet/fleetRules.ts";
import type { EngineModelOptions } from "../standIns/engineModel.ts";
import { type AccountLoad, DEFAULT_MIX, type LoadMix } from "./loadGenerator.ts";

/** Names of the sizes. */
export const EXPERIMENT_SIZES = ["today", "target-dc"] as const;

/** Name of a size. */
export type ExperimentSize = typeof EXPERIMENT_SIZES[number];

/** Engines compute several steps together, so that long runs stay cheap; an overloaded engine falls over. */
export const EXPERIMENT_ENGINE = {
    stepBaseMs: 18,
    stepPerSequenceMs: 0.6,
    stepsPerBatch: 4,
    prefillCharactersPerMs: 40,
    completionsToWarm: 4,
    overloadFactor: 2,
} as const satisfies Partial<EngineModelOptions>;

/** How much slower a cold engine computes. */
const COLD_SLOWDOWN = 4;

/** Calls that wait in an agent are worked off in about two seconds. */
const MODEL_QUEUE = 8;

const TODAY_SHAPE: FleetShape = {
    ...LETREIRO_SHAPE,
    modelLimits: { ...LETREIRO_SHAPE.modelLimits, queue: MODEL_QUEUE },
};

const TARGET_DC_SHAPE: FleetShape = {
    ...TODAY_SHAPE,
    dataCentres: ["recife"],
    entriesPerDataCentre: 36,
    modelReplicas: 44,
    plainReplicas: 11,
};

/**
 * Gives the fleet of a size.
 *
 * @param size - name of the size
 * @returns its shape
 */
export const shapeOf = (size: ExperimentSize): FleetShape => size === "today" ? TODAY_SHAPE : TARGET_DC_SHAPE;

/**
 * Computes how many drafts an engine completes at its limit.
 *
 * @param limit - completions at once
 * @param isCold - whether it is in cold start
 * @param mix - lengths of the drafts
 * @returns drafts per second
 */
export const draftsPerS = (limit: number, isCold: boolean, mix: LoadMix = DEFAULT_MIX): number => {
    const stepMs = (EXPERIMENT_ENGINE.stepBaseMs + EXPERIMENT_ENGINE.stepPerSequenceMs * limit)
        * (isCold ? COLD_SLOWDOWN : 1);
    const { stepsPerBatch } = EXPERIMENT_ENGINE;
    const batches = 1 + Math.ceil((mix.minTokens + mix.maxTokens) / 2 / stepsPerBatch);
    return limit * 1_000 / (batches * stepsPerBatch * stepMs);
};

/**
 * Shares drafts and plain calls out to the accounts by their weights.
 *
 * @param shape - size of the fleet
 * @param totalDraftsPerS - drafts per second of all accounts
 * @param plainCallsPerS - bookings per second of all accounts; as many status reads come with them
 * @returns arrivals of each account
 */
export const loadByWeight = (
    shape: FleetShape,
    totalDraftsPerS: number,
    plainCallsPerS: number,
): AccountLoad[] => {
    const totalWeight = shape.accounts.reduce((sum, { weight }) => sum + weight, 0);
    return shape.accounts.map(({ name, weight }) => ({
        account: name,
        draftsPerS: totalDraftsPerS * weight / totalWeight,
        bookingsPerS: plainCallsPerS * weight / totalWeight,
        statusReadsPerS: plainCallsPerS * weight / totalWeight,
    }));
};
