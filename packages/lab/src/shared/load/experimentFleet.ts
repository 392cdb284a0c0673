/**
 * Runs a virtual fleet under load with scripted faults; shared by the experiments.
 *
 * @packageDocumentation
 */

import { createRandomSource } from "@magnolialock/kernel";
import type { FleetShape } from "../fleet/fleetRules.ts";
import { VirtualFleet } from "../fleet/virtualFleet.ts";
import { AttemptCounter } from "../oracle/attemptCounter.ts";
import type { CallRecord } from "./callRecord.ts";
import { draftThroughputPerS, EXPERIMENT_ENGINE, splitLoadByWeight } from "./experimentSize.ts";
import { type AccountLoad, LoadGenerator } from "./loadGenerator.ts";
import type { Variant } from "./variants.ts";

/** Load during one interval of an experiment. */
export interface LoadPhase {
    /** Start of the interval, in milliseconds since the start of the fleet. */
    readonly fromMs: number;
    /** Length of the interval, in milliseconds. */
    readonly durationMs: number;
    /** Arrival rates by client account. */
    readonly accounts: readonly AccountLoad[];
}

/** Fault or operator's change at a given time of an experiment. */
export interface ScriptedAction {
    /** Time of the action, in milliseconds since the start of the fleet. */
    readonly atMs: number;
    /** Applies the action to the fleet. */
    readonly act: (fleet: VirtualFleet) => void;
}

/**
 * Length of the warm-up, in milliseconds: agents complete enough calls to treat their backend servers as warm
 * before anything is measured.
 */
export const WARM_UP_MS = 20_000;

/** Start of the load, once entries and agents are connected, in milliseconds. */
const COLD_PHASE_START_MS = 1_500;
/** End of the phase in which agents still apply the cold limit, in milliseconds. */
const COLD_PHASE_END_MS = 8_500;
/** Load in the cold phase, as a share of the fleet's warm capacity. */
const COLD_PHASE_LOAD_RATIO = 0.12;
/** Load in the rest of the warm-up, as a share of the fleet's warm capacity. */
const WARM_PHASE_LOAD_RATIO = 0.4;

/**
 * Creates the load phases of the warm-up.
 *
 * @param shape - shape of the fleet
 * @param plainCallsPerS - bookings per second; status reads arrive at the same rate
 * @returns the phases
 */
export const warmUpPhases = (shape: FleetShape, plainCallsPerS: number): LoadPhase[] => {
    const capacityPerS = shape.modelReplicas * draftThroughputPerS(shape.modelLimits.warm, false);
    return [
        {
            fromMs: COLD_PHASE_START_MS,
            durationMs: COLD_PHASE_END_MS - COLD_PHASE_START_MS,
            accounts: splitLoadByWeight(shape, COLD_PHASE_LOAD_RATIO * capacityPerS, plainCallsPerS),
        },
        {
            fromMs: COLD_PHASE_END_MS,
            durationMs: WARM_UP_MS - COLD_PHASE_END_MS,
            accounts: splitLoadByWeight(shape, WARM_PHASE_LOAD_RATIO * capacityPerS, plainCallsPerS),
        },
    ];
};

/** Options of {@link runLoadedFleet}. */
export interface LoadedFleetOptions {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Shape of the fleet. */
    readonly shape: FleetShape;
    /** Serving variant. */
    readonly variant: Variant;
    /** Load phases, in any order. */
    readonly phases: readonly LoadPhase[];
    /** Faults and operators' changes, ordered by time. */
    readonly script: readonly ScriptedAction[];
    /** When the run ends, in milliseconds. */
    readonly endMs: number;
}

/** Result of {@link runLoadedFleet}. */
export interface LoadedFleetResult {
    /** The fleet at the end of the run. */
    readonly fleet: VirtualFleet;
    /** All requests as their callers observed them. */
    readonly records: readonly CallRecord[];
    /** Mean number of attempts per request. */
    readonly amplification: number;
}

/**
 * Starts a fleet and runs it with the given load and script until the end time.
 *
 * @param options - seed, shape, variant, load phases, script and end time
 * @returns the fleet, the recorded requests and the retry amplification
 */
export const runLoadedFleet = async (options: LoadedFleetOptions): Promise<LoadedFleetResult> => {
    const { seed, shape, variant } = options;
    const attemptCounter = new AttemptCounter();
    const fleet = await VirtualFleet.start({
        shape,
        seed,
        policy: variant.policy,
        hasAdmissionControl: variant.hasAdmissionControl,
        engineOptions: EXPERIMENT_ENGINE,
        sinks: [attemptCounter],
    });
    const random = createRandomSource(seed).fork("load");
    const generator = new LoadGenerator({ fleet, shape, random });
    for (const { fromMs, durationMs, accounts } of options.phases) {
        fleet.clock.setTimer(fromMs, () => generator.start(accounts, durationMs));
    }
    for (const { atMs, act } of options.script) {
        fleet.clock.setTimer(atMs, () => act(fleet));
    }
    await fleet.clock.runUntil(options.endMs);
    return { fleet, records: generator.records, amplification: attemptCounter.amplification };
};
