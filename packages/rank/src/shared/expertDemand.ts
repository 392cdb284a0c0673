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

/** Estimates the demand for experts in one group. */
export class ExpertDemand {
    private readonly estimate: PopularityEstimate;
    private readonly minSelections: number;

    /**
     * @param spec - limits of maps
     * @param ranks - number of ranks
     */
    public constructor(private readonly spec: ExpertSpec, ranks: number) {
        const halfLifeMs = demandHalfLifeMs(ranks);
        this.minSelections = MIN_SELECTIONS_PER_EXPERT * spec.experts * halfLifeMs / demandHalfLifeMs(1);
        this.estimate = new PopularityEstimate({
            shape: { ranks, experts: spec.experts, layers: spec.sets, slotsPerRank: spec.placesPerRank },
            halfLifeMs,
        });
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
