/**
 * Experiment `overload`: three times the capacity for a minute, with restarts and a stall in the middle.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import { type CallRecord, isGood } from "../load/callRecord.ts";
import {
    type LoadedFleetResult,
    type LoadPhase,
    runLoadedFleet,
    type ScriptedAction,
    WARM_UP_MS,
    warmUpPhases,
} from "../load/experimentFleet.ts";
import { draftsPerS, type ExperimentSize, loadByWeight, shapeOf } from "../load/experimentSize.ts";
import type { AccountLoad } from "../load/loadGenerator.ts";
import type { Variant } from "../load/variants.ts";
import { draftGoodputRatio, plainSuccessRatio, type ServerFaults } from "../oracle/goodput.ts";
import { type DraftLatencies, draftLatencies } from "../oracle/latencies.ts";
import { recoveryMs } from "../oracle/recovery.ts";
import { countSafety, observeStarts, type SafetyCounts } from "../oracle/safetyCounts.ts";
import { unfairnessMax } from "../oracle/unfairness.ts";

/** Options of {@link runOverload}. */
export interface OverloadOptions {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the fleet. */
    readonly size: ExperimentSize;
    /** Way to serve. */
    readonly variant: Variant;
    /** Length of the overload, in milliseconds. */
    readonly overloadMs?: number;
}

/** Figures of one run. */
export interface OverloadFigures extends SafetyCounts, DraftLatencies {
    /** Drafts completed in deadline during the overload over those that the servers could complete. */
    readonly goodputRatioDuringOverload: number;
    /** Time after the overload until service is as before, in milliseconds. */
    readonly recoveryMs: number;
    /** Attempts for each request. */
    readonly retryAmplification: number;
    /** Largest share of an account in the completions over its weight's share. */
    readonly unfairnessMax: number;
    /** Bookings and status reads that were answered in time, over all. */
    readonly bookingAndStatusSuccessRatio: number;
    /** Requests that the callers sent. */
    readonly requests: number;
    /** Requests that were answered in time. */
    readonly answeredRequests: number;
}

const NORMAL_MS = 10_000;
const DEFAULT_OVERLOAD_MS = 60_000;
const AFTERWARDS_MS = 20_000;
const DRAIN_MS = 20_000;
const STALL_MS = 8_000;
const BOOKINGS_PER_S = 20;
/** Load over the capacity of the whole fleet. */
const NORMAL_RATIO = 0.5;
/** Load of all accounts by their weights in the overload, and what the first account sends on top. */
const FAIR_RATIO = 2;
const FLOOD_RATIO = 1;

/** Times of one run, in milliseconds. */
interface OverloadTimes {
    readonly overloadFromMs: number;
    readonly overloadToMs: number;
    readonly loadToMs: number;
    readonly restartMs: number;
    readonly stallMs: number;
    readonly endMs: number;
}

const timesOf = (overloadMs: number): OverloadTimes => {
    const overloadFromMs = WARM_UP_MS + NORMAL_MS;
    const overloadToMs = overloadFromMs + overloadMs;
    const loadToMs = overloadToMs + AFTERWARDS_MS;
    return {
        overloadFromMs,
        overloadToMs,
        loadToMs,
        restartMs: overloadFromMs + overloadMs / 3,
        stallMs: overloadFromMs + overloadMs / 2,
        endMs: loadToMs + DRAIN_MS,
    };
};

/** Every fourth engine restarts; the second one stalls. */
const isRestarted = (name: string, shape: FleetShape): boolean =>
    Array.from(
        { length: Math.ceil(shape.modelReplicas / 4) },
        (_, index) => `${shape.modelService}-${index * 4 + 1}`,
    )
        .includes(name);

const stalledServer = (shape: FleetShape): string => `${shape.modelService}-2`;

const overloadScript = (shape: FleetShape, times: OverloadTimes): ScriptedAction[] => [
    {
        atMs: times.restartMs,
        act: fleet => {
            for (const [name, { engine }] of fleet.backends) {
                if (isRestarted(name, shape)) {
                    engine?.restart();
                }
            }
        },
    },
    { atMs: times.stallMs, act: fleet => fleet.backends.get(stalledServer(shape))?.engine?.stall(STALL_MS) },
];

const overloadFaults = (shape: FleetShape, times: OverloadTimes, names: readonly string[]): ServerFaults => ({
    unavailable: new Map([[
        stalledServer(shape),
        [{ fromMs: times.stallMs, toMs: times.stallMs + STALL_MS }],
    ]]),
    restartsMs: new Map(
        names.filter(name => isRestarted(name, shape)).map(name => [name, [times.restartMs]]),
    ),
    cuts: [],
});

const overloadAccounts = (shape: FleetShape, capacityPerS: number): AccountLoad[] =>
    loadByWeight(shape, FAIR_RATIO * capacityPerS, BOOKINGS_PER_S).map((load, index) =>
        index === 0 ? { ...load, draftsPerS: load.draftsPerS + FLOOD_RATIO * capacityPerS } : load
    );

const overloadPhases = (shape: FleetShape, times: OverloadTimes): LoadPhase[] => {
    const capacityPerS = shape.modelReplicas * draftsPerS(shape.modelLimits.warm, false);
    const normal = loadByWeight(shape, NORMAL_RATIO * capacityPerS, BOOKINGS_PER_S);
    const { overloadFromMs, overloadToMs } = times;
    return [
        ...warmUpPhases(shape, BOOKINGS_PER_S),
        { fromMs: WARM_UP_MS, durationMs: NORMAL_MS, accounts: normal },
        {
            fromMs: overloadFromMs,
            durationMs: overloadToMs - overloadFromMs,
            accounts: overloadAccounts(shape, capacityPerS),
        },
        { fromMs: overloadToMs, durationMs: AFTERWARDS_MS, accounts: normal },
    ];
};

const completedIn = (records: readonly CallRecord[], fromMs: number, toMs: number): CallRecord[] =>
    records.filter(record =>
        record.kind === "draft" && isGood(record)
        && (record.endedMs ?? 0) >= fromMs && (record.endedMs ?? 0) < toMs
    );

const measure = (
    shape: FleetShape,
    times: OverloadTimes,
    { fleet, records, amplification }: LoadedFleetResult,
): OverloadFigures => {
    const { overloadFromMs, overloadToMs } = times;
    const faults = overloadFaults(shape, times, [...fleet.backends.keys()]);
    const measured = records.filter(({ sentMs }) => sentMs >= WARM_UP_MS);
    const window = { fromMs: overloadFromMs, toMs: overloadToMs };
    return {
        goodputRatioDuringOverload: draftGoodputRatio({ fleet, shape, records, faults, window }),
        recoveryMs: recoveryMs(records, overloadToMs, times.loadToMs),
        retryAmplification: amplification,
        unfairnessMax: unfairnessMax(completedIn(records, overloadFromMs, overloadToMs), shape),
        ...countSafety(records, observeStarts(fleet, shape)),
        bookingAndStatusSuccessRatio: plainSuccessRatio(measured),
        ...draftLatencies(measured),
        requests: measured.length,
        answeredRequests: measured.filter(isGood).length,
    };
};

/**
 * Runs the experiment once.
 *
 * @param options - seed, size and way to serve
 * @returns the figures
 */
export const runOverload = async (options: OverloadOptions): Promise<OverloadFigures> => {
    const shape = shapeOf(options.size);
    const times = timesOf(options.overloadMs ?? DEFAULT_OVERLOAD_MS);
    const result = await runLoadedFleet({
        seed: options.seed,
        shape,
        variant: options.variant,
        phases: overloadPhases(shape, times),
        script: overloadScript(shape, times),
        endMs: times.endMs,
    });
    return measure(shape, times, result);
};
