/**
 * Latency percentiles as seen by callers.
 *
 * @packageDocumentation
 */

import { build } from "hdr-histogram-js";
import type { CallRecord } from "../load/callRecord.ts";

/** Latencies of drafts. */
export interface DraftLatencies {
    /** 95th percentile of the time to the first token, in milliseconds. */
    readonly firstTokenP95Ms: number;
    /** 95th percentile of the time between tokens, in milliseconds. */
    readonly interTokenP95Ms: number;
}

const MICROSECONDS_PER_MS = 1_000;
const P95 = 95;

const p95Of = (valuesMs: Iterable<number>): number => {
    const histogram = build({ highestTrackableValue: 600 * 1_000 * MICROSECONDS_PER_MS });
    for (const valueMs of valuesMs) {
        histogram.recordValue(Math.max(0, Math.round(valueMs * MICROSECONDS_PER_MS)));
    }
    return histogram.totalCount === 0
        ? 0
        : Math.round(histogram.getValueAtPercentile(P95) / MICROSECONDS_PER_MS);
};

/**
 * Computes the latency percentiles of drafts.
 *
 * @param records - requests as their callers saw them
 * @returns percentiles over all drafts that received at least one token; 0 without any
 */
export const draftLatencies = (records: readonly CallRecord[]): DraftLatencies => {
    const drafts = records.filter(({ kind, firstPieceMs }) => kind === "draft" && firstPieceMs !== undefined);
    return {
        firstTokenP95Ms: p95Of(drafts.map(({ firstPieceMs = 0, sentMs }) => firstPieceMs - sentMs)),
        interTokenP95Ms: p95Of(drafts.flatMap(({ tokenGapsMs }) => tokenGapsMs)),
    };
};
