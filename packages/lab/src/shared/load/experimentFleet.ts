/**
 * A loaded fleet with a script of faults: what all experiments share.
 *
 * @packageDocumentation
 */

import { createRandomSource } from "@magnolialock/kernel";
import type { FleetShape } from "../fleet/fleetRules.ts";
import { VirtualFleet } from "../fleet/virtualFleet.ts";
import { AttemptCounter } from "../oracle/attemptCounter.ts";
import type { CallRecord } from "./callRecord.ts";
import { draftsPerS, EXPERIMENT_ENGINE, loadByWeight } from "./experimentSize.ts";
import { type AccountLoad, LoadGenerator } from "./loadGenerator.ts";
import type { Variant } from "./variants.ts";

/** Load that begins at a time. */
export interface LoadPhase {
    /** Its start, in milliseconds. */
    readonly fromMs: number;
    /** Its length, in milliseconds. */
    readonly durationMs: number;
    /** Arrivals of each account. */
    readonly accounts: readonly AccountLoad[];
}

/** Something that happens to the fleet at a time. */
export interface ScriptedAction {
    /** When, in milliseconds. */
    readonly atMs: number;
    /** What happens. */
    readonly act: (fleet: VirtualFleet) => void;
}

/** Time in which agents prove that their servers are warm, before anything is measured, in milliseconds. */
export const WARM_UP_MS = 20_000;

const LINK_UP_MS = 1_500;
const FIRST_WARM_UP_MS = 8_500;
/** Load over the capacity of the fleet while all agents hold the cold limit, and then. */
const FIRST_WARM_UP_RATIO = 0.12;
const SECOND_WARM_UP_RATIO = 0.4;

/**
 * Plans the load of the warm-up.
 *
 * @param shape - size of the fleet
 * @param plainCallsPerS - bookings per second; as many status reads come with them
 * @returns the phases
 */
export const warmUpPhases = (shape: FleetShape, plainCallsPerS: number): LoadPhase[] => {
    const capacityPerS = shape.modelReplicas * draftsPerS(shape.modelLimits.warm, false);
    return [
        {
            fromMs: LINK_UP_MS,
            durationMs: FIRST_WARM_UP_MS - LINK_UP_MS,
            accounts: loadByWeight(shape, FIRST_WARM_UP_RATIO * capacityPerS, plainCallsPerS),
        },
        {
            fromMs: FIRST_WARM_UP_MS,
            durationMs: WARM_UP_MS - FIRST_WARM_UP_MS,
            accounts: loadByWeight(shape, SECOND_WARM_UP_RATIO * capacityPerS, plainCallsPerS),
        },
    ];
};

/** Options of {@link runLoadedFleet}. */
export interface LoadedFleetOptions {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the fleet. */
    readonly shape: FleetShape;
    /** Way to serve. */
    readonly variant: Variant;
    /** Loads, in any order. */
    readonly phases: readonly LoadPhase[];
    /** Faults and operators' changes, in the order of time. */
    readonly script: readonly ScriptedAction[];
    /** When the run ends, in milliseconds. */
    readonly endMs: number;
}

/** What is left after a run. */
export interface LoadedFleetResult {
    /** The fleet. */
    readonly fleet: VirtualFleet;
    /** What the callers saw. */
    readonly records: readonly CallRecord[];
    /** Attempts for each request. */
    readonly amplification: number;
}

/**
 * Runs a fleet under load to the end.
 *
 * @param options - seed, size, loads and script
 * @returns the fleet and what the callers saw
 */
export const runLoadedFleet = async (options: LoadedFleetOptions): Promise<LoadedFleetResult> => {
    const { seed, shape, variant } = options;
    const counter = new AttemptCounter();
    const fleet = await VirtualFleet.start({
        shape,
        seed,
        policy: variant.policy,
        hasAdmissionControl: variant.hasAdmissionControl,
        engine: EXPERIMENT_ENGINE,
        sinks: [counter],
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
    return { fleet, records: generator.records, amplification: counter.amplification };
};
