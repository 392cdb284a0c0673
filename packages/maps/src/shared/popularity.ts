/**
 * Popularity of experts, estimated from late and sampled token counts.
 *
 * @packageDocumentation
 */

import type { ExpertLoads, GroupShape } from "../types/expertMap.ts";

/** Token counts that a group reports for a span of time. */
export interface TokenCountReport {
    /** End of the span, in milliseconds of the group's clock. */
    readonly endMs: number;
    /** Sampled tokens by layer, then expert. */
    readonly counts: ExpertLoads;
}

/** Options of a {@link PopularityEstimate}. */
export interface PopularityOptions {
    /** Size of the group. */
    readonly shape: GroupShape;
    /** Time after which a sample counts half, in milliseconds. */
    readonly halfLifeMs: number;
    /** Samples per expert at which half of the estimate comes from the samples. */
    readonly priorSamplesPerExpert?: number;
}

const DEFAULT_PRIOR_SAMPLES = 4;

/** Decayed sums of sampled counts, by layer and expert. */
export class PopularityEstimate {
    private readonly sums: Float64Array;
    private readonly layerSums: Float64Array;
    private readonly options: PopularityOptions;
    private lastMs = Number.NEGATIVE_INFINITY;

    /** @param options - size, half-life and prior */
    public constructor(options: PopularityOptions) {
        this.options = options;
        this.sums = new Float64Array(options.shape.layers * options.shape.experts);
        this.layerSums = new Float64Array(options.shape.layers);
    }

    /**
     * Takes a report. Reports may come late and out of order: an old one counts by its age.
     *
     * @param report - sampled counts
     */
    public add(report: TokenCountReport): void {
        const ageMs = Math.max(0, this.lastMs - report.endMs);
        const keep = report.endMs > this.lastMs ? this.decayOver(report.endMs - this.lastMs) : 1;
        const weight = this.decayOver(ageMs);
        this.lastMs = Math.max(this.lastMs, report.endMs);
        const { experts } = this.options.shape;
        this.layerSums.fill(0);
        for (let index = 0; index < this.sums.length; index++) {
            const sum = this.sums[index]! * keep + report.counts[index]! * weight;
            this.sums[index] = sum;
            this.layerSums[Math.floor(index / experts)]! += sum;
        }
    }

    /**
     * Share of the tokens of a layer that each expert gets, drawn towards equal shares while samples are few.
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

    /** Decayed number of samples of the layer that has the fewest. */
    public samplesPerLayer(): number {
        return this.layerSums.reduce((least, sum) => Math.min(least, sum), Number.POSITIVE_INFINITY);
    }

    /** How far the estimate rests on samples, from 0 to 1. */
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
