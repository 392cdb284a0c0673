/**
 * Experiment `overload`: load of three times the capacity for a minute, with engine restarts and a stall
 * meanwhile.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import { type CallRecord, isAnsweredInTime } from "../load/callRecord.ts";
import {
    type LoadedFleetResult,
    type LoadPhase,
    runLoadedFleet,
    type ScriptedAction,
    WARM_UP_MS,
    warmUpPhases,
} from "../load/experimentFleet.ts";
import {
    draftThroughputPerS,
    type ExperimentSize,
    fleetShapeOf,
    splitLoadByWeight,
} from "../load/experimentSize.ts";
import type { AccountLoad } from "../load/loadGenerator.ts";
import type { Variant } from "../load/variants.ts";
import { draftGoodputRatio, plainSuccessRatio, type ServerFaults } from "../oracle/goodput.ts";
import { type DraftLatencies, draftLatencies } from "../oracle/latencies.ts";
import { recoveryMs } from "../oracle/recovery.ts";
import { countSafetyViolations, observeStarts, type SafetyCounts } from "../oracle/safetyCounts.ts";
import { unfairnessMax } from "../oracle/unfairness.ts";

/** Options of {@link runOverload}. */
export interface OverloadOptions {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the fleet. */
    readonly size: ExperimentSize;
    /** Serving variant. */
    readonly variant: Variant;
    /** Duration of the overload, in milliseconds. */
    readonly overloadMs?: number;
}

/** Result of one run. */
export interface OverloadResult extends SafetyCounts, DraftLatencies {
    /**
     * Drafts completed within their deadline during the overload, relative to those that the servers could
     * complete.
     */
    readonly goodputRatioDuringOverload: number;
    /** Time from the end of the overload until requests are served normally again, in milliseconds. */
    readonly recoveryMs: number;
    /** Mean number of attempts per request. */
    readonly retryAmplification: number;
    /** Greatest ratio, over the client accounts, of the share of completions to the share by weight. */
    readonly unfairnessMax: number;
    /** Share of the bookings and status reads that were answered within their deadline. */
    readonly bookingAndStatusSuccessRatio: number;
    /** Number of requests sent after the warm-up. */
    readonly requests: number;
    /** Number of these requests that were answered correctly within their deadline. */
    readonly answeredRequests: number;
}

/** Duration of the normal load before the overload, in milliseconds. */
const NORMAL_MS = 10_000;
const DEFAULT_OVERLOAD_MS = 60_000;
/** Duration of the normal load after the overload, in milliseconds. */
const RECOVERY_LOAD_MS = 20_000;
/** Time after the end of the load in which running requests end, in milliseconds. */
const DRAIN_MS = 20_000;
/** Duration of the engine stall, in milliseconds. */
const STALL_MS = 8_000;
/** Bookings per second; status reads arrive at the same rate. */
const BOOKINGS_PER_S = 20;
/** Normal load of drafts, relative to the warm capacity of the fleet. */
const NORMAL_RATIO = 0.5;
/** Overload that is split among all accounts by weight, relative to the same capacity. */
const WEIGHTED_OVERLOAD_RATIO = 2;
/** Overload that the first account sends in addition, relative to the same capacity. */
const EXTRA_LOAD_RATIO = 1;

/** Times of one run, in milliseconds since the start of the fleet. */
interface OverloadTimes {
    readonly overloadFromMs: number;
    readonly overloadToMs: number;
    readonly loadToMs: number;
    readonly restartMs: number;
    readonly stallMs: number;
    readonly endMs: number;
}

const planTimes = (overloadMs: number): OverloadTimes => {
    const overloadFromMs = WARM_UP_MS + NORMAL_MS;
    const overloadToMs = overloadFromMs + overloadMs;
    const loadToMs = overloadToMs + RECOVERY_LOAD_MS;
    return {
        overloadFromMs,
        overloadToMs,
        loadToMs,
        restartMs: overloadFromMs + overloadMs / 3,
        stallMs: overloadFromMs + overloadMs / 2,
        endMs: loadToMs + DRAIN_MS,
    };
};

/** Every fourth engine restarts, beginning with the first. */
const isRestartedServer = (name: string, shape: FleetShape): boolean =>
    Array.from(
        { length: Math.ceil(shape.modelReplicas / 4) },
        (_, index) => `${shape.modelService}-${index * 4 + 1}`,
    )
        .includes(name);

/** The second engine stalls. */
const stalledServerName = (shape: FleetShape): string => `${shape.modelService}-2`;

const createScript = (shape: FleetShape, times: OverloadTimes): ScriptedAction[] => [
    {
        atMs: times.restartMs,
        act: fleet => {
            for (const [name, { engine }] of fleet.backends) {
                if (isRestartedServer(name, shape)) {
                    engine?.restart();
                }
            }
        },
    },
    {
        atMs: times.stallMs,
        act: fleet => fleet.backends.get(stalledServerName(shape))?.engine?.stall(STALL_MS),
    },
];

const listServerFaults = (
    shape: FleetShape,
    times: OverloadTimes,
    names: readonly string[],
): ServerFaults => ({
    unavailable: new Map([[
        stalledServerName(shape),
        [{ fromMs: times.stallMs, toMs: times.stallMs + STALL_MS }],
    ]]),
    restartsMs: new Map(
        names.filter(name => isRestartedServer(name, shape)).map(name => [name, [times.restartMs]]),
    ),
    partitions: [],
});

const createOverloadRates = (shape: FleetShape, capacityPerS: number): AccountLoad[] =>
    splitLoadByWeight(shape, WEIGHTED_OVERLOAD_RATIO * capacityPerS, BOOKINGS_PER_S).map((load, index) =>
        index === 0 ? { ...load, draftsPerS: load.draftsPerS + EXTRA_LOAD_RATIO * capacityPerS } : load
    );

const createLoadPhases = (shape: FleetShape, times: OverloadTimes): LoadPhase[] => {
    const capacityPerS = shape.modelReplicas * draftThroughputPerS(shape.modelLimits.warm, false);
    const normal = splitLoadByWeight(shape, NORMAL_RATIO * capacityPerS, BOOKINGS_PER_S);
    const { overloadFromMs, overloadToMs } = times;
    return [
        ...warmUpPhases(shape, BOOKINGS_PER_S),
        { fromMs: WARM_UP_MS, durationMs: NORMAL_MS, accounts: normal },
        {
            fromMs: overloadFromMs,
            durationMs: overloadToMs - overloadFromMs,
            accounts: createOverloadRates(shape, capacityPerS),
        },
        { fromMs: overloadToMs, durationMs: RECOVERY_LOAD_MS, accounts: normal },
    ];
};

const draftsCompletedIn = (records: readonly CallRecord[], fromMs: number, toMs: number): CallRecord[] =>
    records.filter(record =>
        record.kind === "draft" && isAnsweredInTime(record)
        && (record.endedMs ?? 0) >= fromMs && (record.endedMs ?? 0) < toMs
    );

const computeResult = (
    shape: FleetShape,
    times: OverloadTimes,
    { fleet, records, amplification }: LoadedFleetResult,
): OverloadResult => {
    const { overloadFromMs, overloadToMs } = times;
    const faults = listServerFaults(shape, times, [...fleet.backends.keys()]);
    const measured = records.filter(({ sentMs }) => sentMs >= WARM_UP_MS);
    const window = { fromMs: overloadFromMs, toMs: overloadToMs };
    return {
        goodputRatioDuringOverload: draftGoodputRatio({ fleet, shape, records, faults, window }),
        recoveryMs: recoveryMs(records, overloadToMs, times.loadToMs),
        retryAmplification: amplification,
        unfairnessMax: unfairnessMax(draftsCompletedIn(records, overloadFromMs, overloadToMs), shape),
        ...countSafetyViolations(records, observeStarts(fleet, shape)),
        bookingAndStatusSuccessRatio: plainSuccessRatio(measured),
        ...draftLatencies(measured),
        requests: measured.length,
        answeredRequests: measured.filter(isAnsweredInTime).length,
    };
};

/**
 * Runs the experiment once.
 *
 * @param options - seed, size, variant and duration of the overload
 * @returns the result
 */
export const runOverload = async (options: OverloadOptions): Promise<OverloadResult> => {
    const shape = fleetShapeOf(options.size);
    const times = planTimes(options.overloadMs ?? DEFAULT_OVERLOAD_MS);
    const result = await runLoadedFleet({
        seed: options.seed,
        shape,
        variant: options.variant,
        phases: createLoadPhases(shape, times),
        script: createScript(shape, times),
        endMs: times.endMs,
    });
    return computeResult(shape, times, result);
};
