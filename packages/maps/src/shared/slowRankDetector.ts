/**
 * Detection of slow ranks, as opposed to ranks that merely have more load than the others.
 *
 * @packageDocumentation
 */

import type { EventLog } from "@magnolialock/kernel";
import { rankRecovered, rankSlow } from "./mapsEvents.ts";

/** Measured and expected busy time of one rank over several steps. */
export interface RankWork {
    /** Time for which the rank was busy, without waiting for other ranks, in milliseconds. */
    readonly busyMs: number;
    /** Busy time expected for the rank's load, in milliseconds. */
    readonly expectedMs: number;
}

/** Options of a {@link SlowRankDetector}. */
export interface SlowRankOptions {
    /** Event log of the process. */
    readonly events: EventLog;
    /** Weight of the latest report in the moving average, from 0 to 1. */
    readonly smoothing?: number;
    /** Ratio of busy to expected time, relative to the median rank, above which a rank counts as slow. */
    readonly slowThreshold?: number;
    /** The same ratio, below which a slow rank counts as recovered. */
    readonly recoveryThreshold?: number;
    /** Number of consecutive reports that must confirm a change. */
    readonly requiredConfirmations?: number;
}

const DEFAULTS = {
    smoothing: 0.3,
    slowThreshold: 1.25,
    recoveryThreshold: 1.1,
    requiredConfirmations: 3,
} as const;

interface RankState {
    slowness: number;
    confirmations: number;
    isSlow: boolean;
}

const median = (values: readonly number[]): number => {
    const sorted = values.toSorted((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
};

/**
 * Compares the busy time of each rank with the time expected for its load. A hot rank is busy for as long as
 * its load requires; a slow rank is busy for longer. No map helps a slow rank, so the operator is advised to
 * drain it.
 */
export class SlowRankDetector {
    private readonly options: Required<SlowRankOptions>;
    private readonly states = new Map<number, RankState>();

    /** @param options - event log, smoothing and thresholds */
    public constructor(options: SlowRankOptions) {
        this.options = { ...DEFAULTS, ...options };
    }

    /** Ranks that currently count as slow, in ascending order. */
    public get slowRanks(): number[] {
        return [...this.states].filter(([, { isSlow }]) => isSlow).map(([rank]) => rank).sort((one, other) =>
            one - other
        );
    }

    /**
     * Adds one report of all ranks.
     *
     * @param work - work by rank
     */
    public add(work: readonly RankWork[]): void {
        const ratios = work.map(({ busyMs, expectedMs }) => busyMs / expectedMs);
        const medianRatio = median(ratios);
        ratios.forEach((ratio, rank) => this.update(rank, ratio / medianRatio));
    }

    private update(rank: number, relativeTime: number): void {
        const { smoothing, slowThreshold, recoveryThreshold, requiredConfirmations } = this.options;
        const state = this.states.get(rank) ?? { slowness: 1, confirmations: 0, isSlow: false };
        this.states.set(rank, state);
        state.slowness += smoothing * (relativeTime - state.slowness);
        // Hysteresis keeps a rank near a threshold from being reported repeatedly.
        const isChanging = state.isSlow ? state.slowness < recoveryThreshold : state.slowness > slowThreshold;
        state.confirmations = isChanging ? state.confirmations + 1 : 0;
        if (state.confirmations < requiredConfirmations) {
            return;
        }
        state.confirmations = 0;
        state.isSlow = !state.isSlow;
        const fields = { rank, slowness: Number(state.slowness.toFixed(2)) };
        this.options.events.emit(state.isSlow ? rankSlow : rankRecovered, {
            ...fields,
            advice: state.isSlow ? "drain its backend server" : undefined,
        });
    }
}
