/**
 * Experiment `outage`: a data centre is taken out of service, another one is partitioned meanwhile, and both
 * come back at the same time.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import { isAnsweredInTime } from "../load/callRecord.ts";
import {
    type LoadedFleetResult,
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
import type { Variant } from "../load/variants.ts";
import { draftGoodputRatio, plainSuccessRatio, type ServerFaults } from "../oracle/goodput.ts";
import { type DraftLatencies, draftLatencies } from "../oracle/latencies.ts";
import type { TimeSpan } from "../oracle/potentialGoodput.ts";
import {
    countSafetyViolations,
    type ObservedStart,
    observeStarts,
    type SafetyCounts,
} from "../oracle/safetyCounts.ts";

/** Options of {@link runOutage}. */
export interface OutageOptions {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the fleet. */
    readonly size: ExperimentSize;
    /** Serving variant. */
    readonly variant: Variant;
}

/** Result of one run. */
export interface OutageResult extends SafetyCounts, DraftLatencies {
    /**
     * Time from the publication that takes servers out until the last request starts on one of them, in
     * milliseconds.
     */
    readonly newWorkAfterOutMs: number;
    /** Share of the bookings and status reads that were answered within their deadline. */
    readonly bookingAndStatusSuccessRatio: number;
    /**
     * Drafts completed within their deadline, relative to those that the remaining servers could complete.
     */
    readonly goodputRatio: number;
    /** Number of requests sent after the warm-up. */
    readonly requests: number;
    /** Number of these requests that were answered correctly within their deadline. */
    readonly answeredRequests: number;
    /** Mean number of attempts per request. */
    readonly retryAmplification: number;
}

/** Times of the script, in milliseconds since the start of the fleet. */
const OUTAGE_TIMES = {
    loadFromMs: WARM_UP_MS,
    outMs: WARM_UP_MS + 5_000,
    cutMs: WARM_UP_MS + 15_000,
    backMs: WARM_UP_MS + 30_000,
    loadToMs: WARM_UP_MS + 45_000,
    endMs: WARM_UP_MS + 60_000,
} as const;

/** Load of drafts, relative to the warm capacity of the whole fleet. */
const LOAD_RATIO = 0.4;
/** Bookings per second; status reads arrive at the same rate. */
const BOOKINGS_PER_S = 20;

/** Takes the first data centre out of service, or drains a third of the servers if it is the only one. */
const createOutageAction = (shape: FleetShape): ScriptedAction["act"] => fleet =>
    shape.dataCentres.length > 1
        ? fleet.publish({ out: [shape.dataCentres[0] as string] })
        : fleet.publish({ drain: listDrainedServers(fleet) });

/** Lists the third of the servers that operators drain where there is only one data centre. */
const listDrainedServers = (fleet: VirtualFleet): string[] =>
    [...fleet.backends.keys()].filter((_, index) => index % 3 === 0);

/** Returns a predicate that matches the names of the servers that are taken out or drained. */
const createOutFilter = (fleet: VirtualFleet, shape: FleetShape): (name: string) => boolean => {
    const [outDataCentre] = shape.dataCentres;
    const drained = new Set(listDrainedServers(fleet));
    return shape.dataCentres.length > 1
        ? name => fleet.backends.get(name)?.server.dataCentre === outDataCentre
        : name => drained.has(name);
};

const createScript = (shape: FleetShape): ScriptedAction[] => {
    const partitionedDataCentre = shape.dataCentres.at(2);
    let heal = (): void => {};
    return [
        { atMs: OUTAGE_TIMES.outMs, act: createOutageAction(shape) },
        {
            atMs: OUTAGE_TIMES.cutMs,
            act: fleet => {
                heal = partitionedDataCentre === undefined
                    ? heal
                    : fleet.isolateDataCentre(partitionedDataCentre);
            },
        },
        {
            atMs: OUTAGE_TIMES.backMs,
            act: fleet => {
                heal();
                fleet.publish();
            },
        },
    ];
};

const listServerFaults = (fleet: VirtualFleet, shape: FleetShape): ServerFaults => {
    const out: TimeSpan = { fromMs: OUTAGE_TIMES.outMs, toMs: OUTAGE_TIMES.backMs };
    const names = [...fleet.backends.keys()].filter(createOutFilter(fleet, shape));
    const partitionedDataCentre = shape.dataCentres.at(2);
    return {
        unavailable: new Map(names.map(name => [name, [out]])),
        restartsMs: new Map(),
        partitions: partitionedDataCentre === undefined
            ? []
            : [{ dataCentre: partitionedDataCentre, fromMs: OUTAGE_TIMES.cutMs, toMs: OUTAGE_TIMES.backMs }],
    };
};

const latestStartAfterOutMs = (
    starts: readonly ObservedStart[],
    isOutServer: (name: string) => boolean,
): number => {
    const startsWhileOut = starts.filter(({ server, atMs }) =>
        isOutServer(server) && atMs > OUTAGE_TIMES.outMs && atMs < OUTAGE_TIMES.backMs
    );
    return startsWhileOut.reduce(
        (latest, { atMs }) => Math.max(latest, Math.round(atMs - OUTAGE_TIMES.outMs)),
        0,
    );
};

const computeResult = (
    shape: FleetShape,
    { fleet, records, amplification }: LoadedFleetResult,
): OutageResult => {
    const starts = observeStarts(fleet, shape);
    const measured = records.filter(({ sentMs }) => sentMs >= OUTAGE_TIMES.loadFromMs);
    const window = { fromMs: OUTAGE_TIMES.loadFromMs, toMs: OUTAGE_TIMES.endMs };
    const faults = listServerFaults(fleet, shape);
    return {
        newWorkAfterOutMs: latestStartAfterOutMs(starts, createOutFilter(fleet, shape)),
        ...countSafetyViolations(records, starts),
        bookingAndStatusSuccessRatio: plainSuccessRatio(measured),
        goodputRatio: draftGoodputRatio({ fleet, shape, records: measured, faults, window }),
        ...draftLatencies(measured),
        requests: measured.length,
        answeredRequests: measured.filter(isAnsweredInTime).length,
        retryAmplification: amplification,
    };
};

/**
 * Runs the experiment once.
 *
 * @param options - seed, size and variant
 * @returns the result
 */
export const runOutage = async (options: OutageOptions): Promise<OutageResult> => {
    const shape = fleetShapeOf(options.size);
    const capacityPerS = shape.modelReplicas * draftThroughputPerS(shape.modelLimits.warm, false);
    const result = await runLoadedFleet({
        seed: options.seed,
        shape,
        variant: options.variant,
        phases: [...warmUpPhases(shape, BOOKINGS_PER_S), {
            fromMs: OUTAGE_TIMES.loadFromMs,
            durationMs: OUTAGE_TIMES.loadToMs - OUTAGE_TIMES.loadFromMs,
            accounts: splitLoadByWeight(shape, LOAD_RATIO * capacityPerS, BOOKINGS_PER_S),
        }],
        script: createScript(shape),
        endMs: OUTAGE_TIMES.endMs,
    });
    return computeResult(shape, result);
};
