/**
 * Popularity of experts, estimated from delayed and sampled token counts.
 *
 * @packageDocumentation
 */

import type { ExpertLoads, GroupShape } from "../types/expertMap.ts";

/** Token counts that a group reports for a time window. */
export interface TokenCountReport {
    /** End of the window on the group's clock, in milliseconds. */
    readonly endMs: number;
    /** Sampled tokens by layer, then expert. */
    readonly counts: ExpertLoads;
}

/** Options of a {@link PopularityEstimate}. */
export interface PopularityOptions {
    /** Dimensions of the group. */
    readonly shape: GroupShape;
    /** Half-life of a sample, in milliseconds. */
    readonly halfLifeMs: number;
    /** Weight of the uniform prior: with this many samples per expert, samples and prior weigh the same. */
    readonly priorSamplesPerExpert?: number;
}

const DEFAULT_PRIOR_SAMPLES = 4;

/** Estimate from exponentially decayed sums of the sampled counts, by layer and expert. */
export class PopularityEstimate {
    private readonly sums: Float64Array;
    private readonly layerSums: Float64Array;
    private readonly options: PopularityOptions;
    private lastMs = Number.NEGATIVE_INFINITY;

    /** @param options - dimensions, half-life and prior */
    public constructor(options: PopularityOptions) {
        this.options = options;
        this.sums = new Float64Array(options.shape.layers * options.shape.experts);
        this.layerSums = new Float64Array(options.shape.layers);
    }

    /**
     * Adds a report. Reports may arrive late and out of order; an old report is weighted by its age.
     *
     * @param report - sampled counts
     */
    public add(report: TokenCountReport): void {
        const ageMs = Math.max(0, this.lastMs - report.endMs);
        const decay = report.endMs > this.lastMs ? this.decayOver(report.endMs - this.lastMs) : 1;
        const weight = this.decayOver(ageMs);
        this.lastMs = Math.max(this.lastMs, report.endMs);
        const { experts } = this.options.shape;
        this.layerSums.fill(0);
        for (let index = 0; index < this.sums.length; index++) {
            const sum = this.sums[index]! * decay + report.counts[index]! * weight;
            this.sums[index] = sum;
            this.layerSums[Math.floor(index / experts)]! += sum;
        }
    }

    /**
     * Estimates the share of a layer's tokens that each expert gets; with few samples the shares tend towards
     * equal.
     *
     * @returns shares by layer, then expert; those of a layer add up to 1
     */
    public shares(): ExpertLoads {
        const { experts } = this.options.shape;
        const prior = this.options.priorSamplesPerExpert ?? DEFAULT_PRIOR_SAMPLES;
        const result = new Float64Array(this.sums.length);
        for (let index = 0; index < result.length; index++) {
            const layerSum = this.layerSums[Math.floor(index / experts)]!;
            result[index] = (this.sums[index]! + prior) / (layerSum + prior * experts);
        }
        return result;
    }

    /** Decayed number of samples of the layer with the fewest samples. */
    public samplesPerLayer(): number {
        return this.layerSums.reduce((least, sum) => Math.min(least, sum), Number.POSITIVE_INFINITY);
    }

    /** Weight of the samples against the prior in the estimate, from 0 to 1. */
    public confidence(): number {
        const { experts } = this.options.shape;
        const prior = this.options.priorSamplesPerExpert ?? DEFAULT_PRIOR_SAMPLES;
        const samples = this.samplesPerLayer();
        return samples / (samples + prior * experts);
    }

    private decayOver(spanMs: number): number {
        return Number.isFinite(spanMs) ? 2 ** (-spanMs / this.options.halfLifeMs) : 0;
    }
}
