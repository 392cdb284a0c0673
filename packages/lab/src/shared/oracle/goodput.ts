/**
 * Compares completions in deadline with what the servers could have completed.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import { type CallRecord, isGood } from "../load/callRecord.ts";
import { draftsPerS } from "../load/experimentSize.ts";
import { DEFAULT_MIX } from "../load/loadGenerator.ts";
import { type Cut, potentialCompletions, type ServerCapacity, type TimeSpan } from "./potentialGoodput.ts";

/** What happened to the servers, as the experiment did it. */
export interface ServerFaults {
    /** Times in which servers could do nothing, by name. */
    readonly unavailable: ReadonlyMap<string, readonly TimeSpan[]>;
    /** Times at which servers restarted, by name. */
    readonly restartsMs: ReadonlyMap<string, readonly number[]>;
    /** Cuts between data centres. */
    readonly cuts: readonly Cut[];
}

/** Completions that an engine needs in cold start, at its cold limit. */
const COLD_ROUNDS = 2;
const MS_PER_SECOND = 1_000;

const modelCapacities = (fleet: VirtualFleet, shape: FleetShape, faults: ServerFaults): ServerCapacity[] => {
    const { cold, warm } = shape.modelLimits;
    const coldPerS = draftsPerS(cold, true);
    const coldMs = COLD_ROUNDS * cold / coldPerS * MS_PER_SECOND;
    return [...fleet.backends.values()].filter(({ engine }) => engine).map(({ server }) => ({
        dataCentre: server.dataCentre,
        warmPerS: draftsPerS(warm, false),
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
    /** What the callers saw. */
    readonly records: readonly CallRecord[];
    /** What happened to the servers. */
    readonly faults: ServerFaults;
    /** Time to count completions in. */
    readonly window: TimeSpan;
}

/**
 * Computes the drafts completed in deadline over those that the remaining servers could complete.
 *
 * @param options - fleet, records, faults and time
 * @returns the ratio
 */
export const draftGoodputRatio = (options: GoodputOptions): number => {
    const { fleet, shape, faults, window } = options;
    const drafts = options.records.filter(({ kind }) => kind === "draft");
    const completed = drafts.filter(record =>
        isGood(record) && (record.endedMs ?? 0) >= window.fromMs && (record.endedMs ?? 0) < window.toMs
    );
    const potential = potentialCompletions({
        dataCentres: shape.dataCentres,
        servers: modelCapacities(fleet, shape, faults),
        arrivals: drafts.map(({ dataCentre, sentMs }) => ({ dataCentre, atMs: sentMs })),
        cuts: faults.cuts,
        timeoutMs: DEFAULT_MIX.draftTimeoutMs,
        window,
    });
    return potential === 0 ? 1 : completed.length / potential;
};

/**
 * Computes the share of bookings and status reads that were answered in time.
 *
 * @param records - what the callers saw
 * @returns the ratio
 */
export const plainSuccessRatio = (records: readonly CallRecord[]): number => {
    const plain = records.filter(({ kind }) => kind !== "draft");
    return plain.length === 0 ? 1 : plain.filter(isGood).length / plain.length;
};
