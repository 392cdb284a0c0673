/**
 * Compares the completions within the deadline with those that the servers could have reached.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import { type CallRecord, isAnsweredInTime } from "../load/callRecord.ts";
import { draftThroughputPerS } from "../load/experimentSize.ts";
import { DEFAULT_MIX } from "../load/loadGenerator.ts";
import {
    type DataCentrePartition,
    potentialCompletions,
    type ServerCapacity,
    type TimeSpan,
} from "./potentialGoodput.ts";

/** Faults that the experiment injected. */
export interface ServerFaults {
    /** Intervals in which servers completed nothing, by server name. */
    readonly unavailable: ReadonlyMap<string, readonly TimeSpan[]>;
    /** Times at which servers restarted, by server name, in milliseconds. */
    readonly restartsMs: ReadonlyMap<string, readonly number[]>;
    /** Network partitions between data centres. */
    readonly partitions: readonly DataCentrePartition[];
}

/** Completions that an engine needs to become warm, as a multiple of its cold limit. */
const COLD_START_ROUNDS = 2;
const MS_PER_SECOND = 1_000;

const modelCapacities = (fleet: VirtualFleet, shape: FleetShape, faults: ServerFaults): ServerCapacity[] => {
    const { cold, warm } = shape.modelLimits;
    const coldPerS = draftThroughputPerS(cold, true);
    const coldMs = COLD_START_ROUNDS * cold / coldPerS * MS_PER_SECOND;
    return [...fleet.backends.values()].filter(({ engine }) => engine).map(({ server }) => ({
        dataCentre: server.dataCentre,
        warmPerS: draftThroughputPerS(warm, false),
        coldPerS,
        unavailable: faults.unavailable.get(server.name) ?? [],
        cold: (faults.restartsMs.get(server.name) ?? []).map(fromMs => ({ fromMs, toMs: fromMs + coldMs })),
    }));
};

/** Options of {@link draftGoodputRatio}. */
export interface GoodputOptions {
    /** The fleet. */
    readonly fleet: VirtualFleet;
    /** Its size. */
    readonly shape: FleetShape;
    /** Requests as their callers saw them. */
    readonly records: readonly CallRecord[];
    /** Faults that the experiment injected. */
    readonly faults: ServerFaults;
    /** Interval in which completions count. */
    readonly window: TimeSpan;
}

/**
 * Computes the ratio of drafts completed within their deadline to drafts that the remaining servers could
 * complete.
 *
 * @param options - fleet, records, faults and interval
 * @returns the ratio; 1 when the servers could complete none
 */
export const draftGoodputRatio = (options: GoodputOptions): number => {
    const { fleet, shape, faults, window } = options;
    const drafts = options.records.filter(({ kind }) => kind === "draft");
    const completed = drafts.filter(record =>
        isAnsweredInTime(record) && (record.endedMs ?? 0) >= window.fromMs
        && (record.endedMs ?? 0) < window.toMs
    );
    const potential = potentialCompletions({
        dataCentres: shape.dataCentres,
        servers: modelCapacities(fleet, shape, faults),
        arrivals: drafts.map(({ dataCentre, sentMs }) => ({ dataCentre, atMs: sentMs })),
        partitions: faults.partitions,
        timeoutMs: DEFAULT_MIX.draftTimeoutMs,
        window,
    });
    return potential === 0 ? 1 : completed.length / potential;
};

/**
 * Computes the share of bookings and status reads that were answered in time.
 *
 * @param records - requests as their callers saw them
 * @returns the share, from 0 to 1; 1 when there were none
 */
export const plainSuccessRatio = (records: readonly CallRecord[]): number => {
    const plain = records.filter(({ kind }) => kind !== "draft");
    return plain.length === 0 ? 1 : plain.filter(isAnsweredInTime).length / plain.length;
};
