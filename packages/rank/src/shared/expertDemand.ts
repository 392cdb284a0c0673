/**
 * Demand for each expert, estimated from the selection counts of all ranks.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import { PopularityEstimate } from "@magnolialock/maps/src/shared/popularity.ts";
import type { RankStatus } from "../types/rankMessages.ts";

/**
 * Half-life of a selection in the estimate, in milliseconds. Popularity shifts within a second; with a much
 * shorter half-life the few requests in progress would dominate the estimate.
 */
const HALF_LIFE_MS = 500;
/** Mean number of selections for each expert that must have been counted before the shares are meaningful. */
const MIN_SELECTIONS_PER_EXPERT = 20;

/** Estimates the demand for experts in one group. */
export class ExpertDemand {
    private readonly estimate: PopularityEstimate;

    /**
     * @param spec - limits of maps
     * @param ranks - number of ranks
     */
    public constructor(private readonly spec: ExpertSpec, ranks: number) {
        this.estimate = new PopularityEstimate({
            shape: { ranks, experts: spec.experts, layers: spec.sets, slotsPerRank: spec.placesPerRank },
            halfLifeMs: HALF_LIFE_MS,
        });
    }

    /** Whether enough selections were counted for a meaningful estimate. */
    public get hasEnoughSamples(): boolean {
        return this.estimate.samplesPerLayer() >= MIN_SELECTIONS_PER_EXPERT * this.spec.experts;
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
    }

    /** Share of each set's selections that each expert gets, by set, then expert. */
    public shares(): number[][] {
        const flat = this.estimate.shares();
        const { experts, sets } = this.spec;
        return Array.from(
            { length: sets },
            (_, set) => [...flat.subarray(set * experts, (set + 1) * experts)],
        );
    }
}
