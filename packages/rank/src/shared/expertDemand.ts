/**
 * Which experts are in demand, from the counts of all ranks.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/fleetPicture.ts";
import { PopularityEstimate } from "@magnolialock/maps/src/shared/popularity.ts";
import type { RankStatus } from "../types/rankMessages.ts";

/**
 * Time after which a choice counts half, in milliseconds. Popularity shifts within a second; much shorter, the few
 * requests that run at a time decide instead of the demand.
 */
const HALF_LIFE_MS = 500;
/** Choices an expert that must have been seen, on average, before the shares say anything. */
const LEAST_CHOICES_PER_EXPERT = 20;

/** Follows the demand of one group. */
export class ExpertDemand {
    private readonly estimate: PopularityEstimate;

    /**
     * @param spec - bounds of maps
     * @param ranks - number of ranks
     */
    public constructor(private readonly spec: ExpertSpec, ranks: number) {
        this.estimate = new PopularityEstimate({
            shape: { ranks, experts: spec.experts, layers: spec.sets, slotsPerRank: spec.placesPerRank },
            halfLifeMs: HALF_LIFE_MS,
        });
    }

    /** Whether enough choices were seen. */
    public get isKnown(): boolean {
        return this.estimate.samplesPerLayer() >= LEAST_CHOICES_PER_EXPERT * this.spec.experts;
    }

    /**
     * Takes the counts of all ranks.
     *
     * @param statuses - states of the ranks, read just now
     * @param nowMs - time of the reading, in milliseconds
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

    /** Share of the choices of a set that each expert gets, by set. */
    public shares(): number[][] {
        const flat = this.estimate.shares();
        const { experts, sets } = this.spec;
        return Array.from(
            { length: sets },
            (_, set) => [...flat.subarray(set * experts, (set + 1) * experts)],
        );
    }
}
