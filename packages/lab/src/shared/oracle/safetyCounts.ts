/**
 * Counts violations of the safety properties from the records of the stand-ins and the callers. It shares no
 * code with the components that make the decisions.
 *
 * @packageDocumentation
 */

import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import type { CallRecord } from "../load/callRecord.ts";

/** Violations by kind; each count must be 0. */
export interface SafetyCounts {
    /** Requests that got neither an answer nor a failure within a grace period after their deadline. */
    readonly lostRequests: number;
    /** Requests that failed after the first part of their answer had arrived. */
    readonly cutOffRequests: number;
    /** Answers that ended normally but had wrong content. */
    readonly wrongAnswers: number;
    /** Non-repeatable requests that ran more than once. */
    readonly doubleRuns: number;
    /** Requests that ran although the caller was told "not run". */
    readonly falseNotRun: number;
    /** Executions that were started above the warm limit of their server. */
    readonly overCapacityStarts: number;
    /** Executions that were started above the cold limit while the server was cold. */
    readonly overColdLimitStarts: number;
}

/** Start of one execution on a stand-in server. */
export interface ObservedStart {
    /** Identifier of the request. */
    readonly requestId: string;
    /** Time of the start, in milliseconds. */
    readonly atMs: number;
    /** Name of the server. */
    readonly server: string;
    /** Calls running on the server, this one included. */
    readonly running: number;
    /** Whether the server was cold. */
    readonly isCold: boolean;
    /** Largest number of concurrent calls when the server is cold. */
    readonly coldLimit: number;
    /** Largest number of concurrent calls when the server is warm. */
    readonly warmLimit: number;
}

/** Concurrency limits by kind of server. */
export interface ServerLimits {
    /** Limits of model servers. */
    readonly modelLimits: { readonly cold: number; readonly warm: number; };
    /** Limits of plain servers. */
    readonly plainLimits: { readonly cold: number; readonly warm: number; };
}

/** Time after the deadline within which a failure may still arrive, in milliseconds. */
const ANSWER_GRACE_MS = 1_000;

/**
 * Collects the execution starts that all stand-ins recorded.
 *
 * @param fleet - the fleet
 * @param limits - concurrency limits of its servers
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

const isCutOff = ({ outcome, firstPieceMs }: CallRecord): boolean =>
    outcome.kind === "failed" && firstPieceMs !== undefined;

const countStartsByRequest = (starts: readonly ObservedStart[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { requestId } of starts) {
        counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
    return counts;
};

/**
 * Counts violations of the safety properties.
 *
 * @param records - requests as their callers saw them, after the run
 * @param starts - execution starts as the stand-ins saw them
 * @returns the counts
 */
export const countSafetyViolations = (
    records: readonly CallRecord[],
    starts: readonly ObservedStart[],
): SafetyCounts => {
    const startCounts = countStartsByRequest(starts);
    const startCountOf = ({ requestId }: CallRecord): number => startCounts.get(requestId) ?? 0;
    const countRecords = (matches: (record: CallRecord) => boolean): number => records.filter(matches).length;
    return {
        lostRequests: countRecords(isLost),
        cutOffRequests: countRecords(isCutOff),
        wrongAnswers: countRecords(({ outcome }) => outcome.kind === "wrong"),
        doubleRuns: countRecords(record => record.kind === "booking" && startCountOf(record) > 1),
        falseNotRun: countRecords(record =>
            record.outcome.kind === "failed" && record.outcome.ran === "not run" && startCountOf(record) > 0
        ),
        overCapacityStarts: starts.filter(start => start.running > start.warmLimit).length,
        overColdLimitStarts: starts.filter(start => start.isCold && start.running > start.coldLimit).length,
    };
};
