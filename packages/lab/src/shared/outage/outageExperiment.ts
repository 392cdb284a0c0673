/**
 * Experiment `outage`: a data centre is taken out, another one is cut off meanwhile, both come back together.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import { isGood } from "../load/callRecord.ts";
import {
    type LoadedFleetResult,
    runLoadedFleet,
    type ScriptedAction,
    WARM_UP_MS,
    warmUpPhases,
} from "../load/experimentFleet.ts";
import { draftsPerS, type ExperimentSize, loadByWeight, shapeOf } from "../load/experimentSize.ts";
import type { Variant } from "../load/variants.ts";
import { draftGoodputRatio, plainSuccessRatio, type ServerFaults } from "../oracle/goodput.ts";
import { type DraftLatencies, draftLatencies } from "../oracle/latencies.ts";
import type { TimeSpan } from "../oracle/potentialGoodput.ts";
import { countSafety, type ObservedStart, observeStarts, type SafetyCounts } from "../oracle/safetyCounts.ts";

/** Options of {@link runOutage}. */
export interface OutageOptions {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the fleet. */
    readonly size: ExperimentSize;
    /** Way to serve. */
    readonly variant: Variant;
}

/** Figures of one run. */
export interface OutageFigures extends SafetyCounts, DraftLatencies {
    /** Latest start in the data centre that is out, after the publication, in milliseconds. */
    readonly newWorkAfterOutMs: number;
    /** Bookings and status reads that were answered in time, over all. */
    readonly bookingAndStatusSuccessRatio: number;
    /** Drafts completed in deadline over those that the remaining servers could complete. */
    readonly goodputRatio: number;
    /** Requests that the callers sent. */
    readonly requests: number;
    /** Requests that were answered in time. */
    readonly answeredRequests: number;
    /** Attempts for each request. */
    readonly retryAmplification: number;
}

/** Times of the script, in milliseconds. */
const OUTAGE_TIMES = {
    loadFromMs: WARM_UP_MS,
    outMs: WARM_UP_MS + 5_000,
    cutMs: WARM_UP_MS + 15_000,
    backMs: WARM_UP_MS + 30_000,
    loadToMs: WARM_UP_MS + 45_000,
    endMs: WARM_UP_MS + 60_000,
} as const;

/** Load over the capacity of the whole fleet. */
const LOAD_RATIO = 0.4;
/** Bookings per second; as many status reads come with them. */
const BOOKINGS_PER_S = 20;

const publishOut = (shape: FleetShape): ScriptedAction["act"] => fleet =>
    shape.dataCentres.length > 1
        ? fleet.publish({ out: [shape.dataCentres[0] as string] })
        : fleet.publish({ drain: drainedServers(fleet) });

/** The third of the servers that operators drain where there is only one data centre. */
const drainedServers = (fleet: VirtualFleet): string[] =>
    [...fleet.backends.keys()].filter((_, index) => index % 3 === 0);

const isOut = (fleet: VirtualFleet, shape: FleetShape): (name: string) => boolean => {
    const [outDataCentre] = shape.dataCentres;
    const drained = new Set(drainedServers(fleet));
    return shape.dataCentres.length > 1
        ? name => fleet.backends.get(name)?.server.dataCentre === outDataCentre
        : name => drained.has(name);
};

const outageScript = (shape: FleetShape): ScriptedAction[] => {
    const cutDataCentre = shape.dataCentres.at(2);
    let heal = (): void => {};
    return [
        { atMs: OUTAGE_TIMES.outMs, act: publishOut(shape) },
        {
            atMs: OUTAGE_TIMES.cutMs,
            act: fleet => {
                heal = cutDataCentre === undefined ? heal : fleet.cutOff(cutDataCentre);
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

const outageFaults = (fleet: VirtualFleet, shape: FleetShape): ServerFaults => {
    const out: TimeSpan = { fromMs: OUTAGE_TIMES.outMs, toMs: OUTAGE_TIMES.backMs };
    const names = [...fleet.backends.keys()].filter(isOut(fleet, shape));
    const cutDataCentre = shape.dataCentres.at(2);
    return {
        unavailable: new Map(names.map(name => [name, [out]])),
        restartsMs: new Map(),
        cuts: cutDataCentre === undefined
            ? []
            : [{ dataCentre: cutDataCentre, fromMs: OUTAGE_TIMES.cutMs, toMs: OUTAGE_TIMES.backMs }],
    };
};

const latestNewWorkMs = (
    starts: readonly ObservedStart[],
    isOutServer: (name: string) => boolean,
): number => {
    const late = starts.filter(({ server, atMs }) =>
        isOutServer(server) && atMs > OUTAGE_TIMES.outMs && atMs < OUTAGE_TIMES.backMs
    );
    return late.reduce((latest, { atMs }) => Math.max(latest, Math.round(atMs - OUTAGE_TIMES.outMs)), 0);
};

const measure = (shape: FleetShape, { fleet, records, amplification }: LoadedFleetResult): OutageFigures => {
    const starts = observeStarts(fleet, shape);
    const measured = records.filter(({ sentMs }) => sentMs >= OUTAGE_TIMES.loadFromMs);
    const window = { fromMs: OUTAGE_TIMES.loadFromMs, toMs: OUTAGE_TIMES.endMs };
    const faults = outageFaults(fleet, shape);
    return {
        newWorkAfterOutMs: latestNewWorkMs(starts, isOut(fleet, shape)),
        ...countSafety(records, starts),
        bookingAndStatusSuccessRatio: plainSuccessRatio(measured),
        goodputRatio: draftGoodputRatio({ fleet, shape, records: measured, faults, window }),
        ...draftLatencies(measured),
        requests: measured.length,
        answeredRequests: measured.filter(isGood).length,
        retryAmplification: amplification,
    };
};

/**
 * Runs the experiment once.
 *
 * @param options - seed, size and way to serve
 * @returns the figures
 */
export const runOutage = async (options: OutageOptions): Promise<OutageFigures> => {
    const shape = shapeOf(options.size);
    const capacityPerS = shape.modelReplicas * draftsPerS(shape.modelLimits.warm, false);
    const result = await runLoadedFleet({
        seed: options.seed,
        shape,
        variant: options.variant,
        phases: [...warmUpPhases(shape, BOOKINGS_PER_S), {
            fromMs: OUTAGE_TIMES.loadFromMs,
            durationMs: OUTAGE_TIMES.loadToMs - OUTAGE_TIMES.loadFromMs,
            accounts: loadByWeight(shape, LOAD_RATIO * capacityPerS, BOOKINGS_PER_S),
        }],
        script: outageScript(shape),
        endMs: OUTAGE_TIMES.endMs,
    });
    return measure(shape, result);
};
