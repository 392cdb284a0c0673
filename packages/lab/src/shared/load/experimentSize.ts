/**
 * Fleet sizes of the experiments, and the engine capacity from which their load is derived.
 *
 * @packageDocumentation
 */

import { type FleetShape, LETREIRO_SHAPE } from "../fleet/fleetRules.ts";
import type { SimulatedEngineOptions } from "../standIns/simulatedEngine.ts";
import { type AccountLoad, DEFAULT_MIX, type LoadMix } from "./loadGenerator.ts";

/** Names of the fleet sizes. */
export const EXPERIMENT_SIZES = ["today", "target-dc"] as const;

/** Name of a fleet size. */
export type ExperimentSize = typeof EXPERIMENT_SIZES[number];

/**
 * Engine parameters of the experiments. Several steps are simulated as one batch, which keeps long runs
 * cheap. An engine that runs more than `overloadFactor` times its limit dies.
 */
export const EXPERIMENT_ENGINE = {
    stepBaseMs: 18,
    stepPerSequenceMs: 0.6,
    stepsPerBatch: 4,
    prefillCharactersPerMs: 40,
    completionsToWarm: 4,
    overloadFactor: 2,
} as const satisfies Partial<SimulatedEngineOptions>;

/** Factor by which a step of a cold engine takes longer. */
const COLD_SLOWDOWN = 4;

/** Limit of an agent's queue; an engine works off a full queue in about two seconds. */
const MODEL_QUEUE_LIMIT = 8;

const TODAY_SHAPE: FleetShape = {
    ...LETREIRO_SHAPE,
    modelLimits: { ...LETREIRO_SHAPE.modelLimits, queue: MODEL_QUEUE_LIMIT },
};

const TARGET_DC_SHAPE: FleetShape = {
    ...TODAY_SHAPE,
    dataCentres: ["recife"],
    entriesPerDataCentre: 36,
    modelReplicas: 44,
    plainReplicas: 11,
};

/**
 * Returns the fleet shape of a size.
 *
 * @param size - name of the size
 * @returns the shape
 */
export const fleetShapeOf = (size: ExperimentSize): FleetShape =>
    size === "today" ? TODAY_SHAPE : TARGET_DC_SHAPE;

/**
 * Computes the throughput of an engine that runs at its concurrency limit.
 *
 * @param limit - concurrent completions
 * @param isCold - whether the engine is cold
 * @param mix - distribution of the draft lengths
 * @returns completed drafts per second
 */
export const draftThroughputPerS = (limit: number, isCold: boolean, mix: LoadMix = DEFAULT_MIX): number => {
    const stepMs = (EXPERIMENT_ENGINE.stepBaseMs + EXPERIMENT_ENGINE.stepPerSequenceMs * limit)
        * (isCold ? COLD_SLOWDOWN : 1);
    const { stepsPerBatch } = EXPERIMENT_ENGINE;
    const batchesPerDraft = 1 + Math.ceil((mix.minTokens + mix.maxTokens) / 2 / stepsPerBatch);
    return limit * 1_000 / (batchesPerDraft * stepsPerBatch * stepMs);
};

/**
 * Splits the total arrival rates among the client accounts in proportion to their weights.
 *
 * @param shape - shape of the fleet
 * @param totalDraftsPerS - drafts per second of all accounts
 * @param plainCallsPerS - bookings per second of all accounts; status reads arrive at the same rate
 * @returns arrival rates by account
 */
export const splitLoadByWeight = (
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
