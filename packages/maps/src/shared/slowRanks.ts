/**
 * Tells a slow rank from one that has more load than the others.
 *
 * @packageDocumentation
 */

import type { EventLog } from "@magnolialock/kernel";
import { rankRecovered, rankSlow } from "./mapsEvents.ts";

/** Work of one rank over some steps. */
export interface RankWork {
    /** Time that the rank worked, without waiting for others, in milliseconds. */
    readonly busyMs: number;
    /** Time that its load explains, in milliseconds. */
    readonly expectedMs: number;
}

/** Options of a {@link SlowRankDetector}. */
export interface SlowRankOptions {
    /** Event log of the process. */
    readonly events: EventLog;
    /** Share of the last report in the running mean. */
    readonly smoothing?: number;
    /** Time over that of its load, relative to the middle rank, from which a rank is slow. */
    readonly slowFrom?: number;
    /** The same figure, below which a slow rank is well again. */
    readonly wellBelow?: number;
    /** Reports in a row that have to agree. */
    readonly reportsToAgree?: number;
}

const DEFAULTS = { smoothing: 0.3, slowFrom: 1.25, wellBelow: 1.1, reportsToAgree: 3 } as const;

interface RankState {
    slowness: number;
    agreeing: number;
    isSlow: boolean;
}

const median = (values: readonly number[]): number => {
    const sorted = values.toSorted((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
};

/**
 * Compares the time of each rank with what its own load explains. A hot rank is busy for as long as its load says;
 * a slow one is busy for longer. No map helps a slow rank, so the operator is told to drain it.
 */
export class SlowRankDetector {
    private readonly options: Required<SlowRankOptions>;
    private readonly states = new Map<number, RankState>();

    /** @param options - event log, smoothing and thresholds */
    public constructor(options: SlowRankOptions) {
        this.options = { ...DEFAULTS, ...options };
    }

    /** Ranks that are slow now, in ascending order. */
    public get slowRanks(): number[] {
        return [...this.states].filter(([, { isSlow }]) => isSlow).map(([rank]) => rank).sort((one, other) =>
            one - other
        );
    }

    /**
     * Takes one report of all ranks.
     *
     * @param work - work by rank
     */
    public add(work: readonly RankWork[]): void {
        const ratios = work.map(({ busyMs, expectedMs }) => busyMs / expectedMs);
        const middle = median(ratios);
        ratios.forEach((ratio, rank) => this.update(rank, ratio / middle));
    }

    private update(rank: number, relative: number): void {
        const { smoothing, slowFrom, wellBelow, reportsToAgree } = this.options;
        const state = this.states.get(rank) ?? { slowness: 1, agreeing: 0, isSlow: false };
        this.states.set(rank, state);
        state.slowness += smoothing * (relative - state.slowness);
        // Hysteresis keeps a rank near the threshold from being reported again and again.
        const isChanging = state.isSlow ? state.slowness < wellBelow : state.slowness > slowFrom;
        state.agreeing = isChanging ? state.agreeing + 1 : 0;
        if (state.agreeing < reportsToAgree) {
            return;
        }
        state.agreeing = 0;
        state.isSlow = !state.isSlow;
        const fields = { rank, slowness: Number(state.slowness.toFixed(2)) };
        this.options.events.emit(state.isSlow ? rankSlow : rankRecovered, {
            ...fields,
            advice: state.isSlow ? "drain its backend server" : undefined,
        });
    }
}
