/**
 * Counts broken promises from what the stand-ins and the callers saw. It shares no code with the decisions.
 *
 * @packageDocumentation
 */

import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import type { CallRecord } from "../load/callRecord.ts";

/** Broken promises; each must be 0. */
export interface SafetyCounts {
    /** Requests without any end some time after their deadline. */
    readonly lostRequests: number;
    /** Answers that had begun and then failed. */
    readonly cutOffRequests: number;
    /** Answers that were whole by their end but not by their content. */
    readonly wrongAnswers: number;
    /** Requests that may not be repeated and ran more than once. */
    readonly doubleRuns: number;
    /** Requests that ran although the caller was told that they did not. */
    readonly falseNotRun: number;
    /** Starts above the warm limit. */
    readonly overCapacityStarts: number;
    /** Starts above the cold limit while the server was cold. */
    readonly overColdLimitStarts: number;
}

/** One start of work at a stand-in. */
export interface ObservedStart {
    /** Identifier of the request. */
    readonly requestId: string;
    /** When, in milliseconds. */
    readonly atMs: number;
    /** Name of the server. */
    readonly server: string;
    /** Calls that ran, with this one. */
    readonly running: number;
    /** Whether the server was cold. */
    readonly isCold: boolean;
    /** Calls that the server bears when cold. */
    readonly coldLimit: number;
    /** Calls that the server bears when warm. */
    readonly warmLimit: number;
}

/** Limits of the servers by kind. */
export interface ServerLimits {
    /** Limits of model servers. */
    readonly modelLimits: { readonly cold: number; readonly warm: number; };
    /** Limits of plain servers. */
    readonly plainLimits: { readonly cold: number; readonly warm: number; };
}

/** Time after the deadline in which a failure may still arrive, in milliseconds. */
const ANSWER_GRACE_MS = 1_000;

/**
 * Collects the starts that all stand-ins saw.
 *
 * @param fleet - the fleet
 * @param limits - what its servers bear
 * @returns the starts
 */
export const observeStarts = (fleet: VirtualFleet, limits: ServerLimits): ObservedStart[] =>
    [...fleet.backends.values()].flatMap(({ server, engine, plain }) => {
        const { cold, warm } = engine ? limits.modelLimits : limits.plainLimits;
        return (engine?.starts ?? plain?.runs ?? []).map(start => ({
            ...start,
            server: server.name,
            coldLimit: cold,
            warmLimit: warm,
        }));
    });

const isLost = (record: CallRecord): boolean =>
    record.endedMs === undefined || record.endedMs > record.deadlineMs + ANSWER_GRACE_MS;

const isCutOff = ({ ending, firstPieceMs }: CallRecord): boolean =>
    ending.kind === "failed" && firstPieceMs !== undefined;

const countById = (starts: readonly ObservedStart[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { requestId } of starts) {
        counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
    return counts;
};

/**
 * Counts broken promises.
 *
 * @param records - what the callers saw, after the run
 * @param starts - what the stand-ins saw
 * @returns the counts
 */
export const countSafety = (
    records: readonly CallRecord[],
    starts: readonly ObservedStart[],
): SafetyCounts => {
    const runs = countById(starts);
    const runsOf = ({ requestId }: CallRecord): number => runs.get(requestId) ?? 0;
    const countRecords = (matches: (record: CallRecord) => boolean): number => records.filter(matches).length;
    return {
        lostRequests: countRecords(isLost),
        cutOffRequests: countRecords(isCutOff),
        wrongAnswers: countRecords(({ ending }) => ending.kind === "wrong"),
        doubleRuns: countRecords(record => record.kind === "booking" && runsOf(record) > 1),
        falseNotRun: countRecords(record =>
            record.ending.kind === "failed" && record.ending.ran === "not run" && runsOf(record) > 0
        ),
        overCapacityStarts: starts.filter(start => start.running > start.warmLimit).length,
        overColdLimitStarts: starts.filter(start => start.isCold && start.running > start.coldLimit).length,
    };
};
