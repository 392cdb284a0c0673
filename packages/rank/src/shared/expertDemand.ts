/**
 * Demand for each expert, estimated from the selection counts of all ranks.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import { PopularityEstimate } from "@magnolialock/maps/src/shared/popularity.ts";
import type { RankStatus } from "../types/rankMessages.ts";
import { demandHalfLifeMs } from "./groupTiming.ts";

/**
 * Mean number of selections for each expert that must have been counted before the shares are meaningful, with
 * the longest half-life. A shorter half-life must not require more selections per second.
 */
const MIN_SELECTIONS_PER_EXPERT = 20;

/**
 * Half-lives of the slower estimate that shows the trend. A shift takes as long as the requests in progress
 * last, and a map is in force only after its copies and its round.
 */
const TREND_HALF_LIVES = 4;
/** Least share of an expert with a falling trend, as a part of its current share: a request may still use it. */
const MIN_TREND_FACTOR = 0.25;
/**
 * Ranks above which shares follow the trend. The requests of a smaller group vary more, and a replay showed more
 * copies there.
 */
const MAX_RANKS_WITHOUT_TREND = 24;

/** Estimates the demand for experts in one group. */
export class ExpertDemand {
    private readonly estimate: PopularityEstimate;
    private readonly slowEstimate: PopularityEstimate | undefined;
    private readonly minSelections: number;

    /**
     * @param spec - limits of maps
     * @param ranks - number of ranks
     */
    public constructor(private readonly spec: ExpertSpec, ranks: number) {
        const halfLifeMs = demandHalfLifeMs(ranks);
        this.minSelections = MIN_SELECTIONS_PER_EXPERT * spec.experts * halfLifeMs / demandHalfLifeMs(1);
        const shape = { ranks, experts: spec.experts, layers: spec.sets, slotsPerRank: spec.placesPerRank };
        this.estimate = new PopularityEstimate({ shape, halfLifeMs });
        this.slowEstimate = ranks > MAX_RANKS_WITHOUT_TREND
            ? new PopularityEstimate({ shape, halfLifeMs: halfLifeMs * TREND_HALF_LIVES })
            : undefined;
    }

    /** Whether enough selections were counted for a meaningful estimate. */
    public get hasEnoughSamples(): boolean {
        return this.estimate.samplesPerLayer() >= this.minSelections;
    }

    /**
     * Adds the new counts of all ranks.
     *
     * @param statuses - current statuses of the ranks
     * @param nowMs - time at which they were read, in milliseconds
     */
    public add(statuses: readonly RankStatus[], nowMs: number): void {
        const sums = new Float64Array(this.spec.sets * this.spec.experts);
        for (const { newCounts } of statuses) {
            for (let index = 0; index < sums.length; index++) {
                sums[index] = (sums[index] as number) + (newCounts[index] ?? 0);
            }
        }
        this.estimate.add({ endMs: nowMs, counts: sums });
        this.slowEstimate?.add({ endMs: nowMs, counts: sums });
    }

    /**
     * Share of each set's selections that each expert gets, by set, then expert. In a large group these are the
     * shares that the trend leads to while a switch is under way; those of a set add up to about 1.
     */
    public shares(): number[][] {
        const flat = Float64Array.from(this.estimate.shares());
        const slow = this.slowEstimate?.shares();
        if (slow) {
            for (let index = 0; index < flat.length; index++) {
                const share = flat[index] as number;
                const expected = 2 * share - (slow[index] as number);
                flat[index] = Math.max(MIN_TREND_FACTOR * share, expected);
            }
        }
        const { experts, sets } = this.spec;
        return Array.from(
            { length: sets },
            (_, set) => [...flat.subarray(set * experts, (set + 1) * experts)],
        );
    }
}
