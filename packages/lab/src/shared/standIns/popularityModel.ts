/**
 * Stand-in of expert popularity: how the tokens of a group spread over its experts as time passes.
 *
 * @packageDocumentation
 */

import { nextExponential, type RandomSource, shuffled } from "@magnolialock/kernel";
import type { ExpertLoads } from "@magnolialock/maps";
import { match } from "ts-pattern";

/** Ways in which popularity changes. */
export const DRIFTS = ["day", "burst", "flip", "calm"] as const;

/** One way in which popularity changes. */
export type Drift = typeof DRIFTS[number];

/** Options of {@link createPopularityModel}. */
export interface PopularityModelOptions {
    /** How popularity changes. */
    readonly drift: Drift;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Layers with experts. */
    readonly layers: number;
    /** Experts in each layer. */
    readonly experts: number;
    /** How long the model is used, in milliseconds. */
    readonly durationMs: number;
}

/** Popularity of experts as a function of time. */
export interface PopularityModel {
    /**
     * Writes the share of the tokens of a layer that each expert gets.
     *
     * @param timeMs - time since the start, in milliseconds
     * @param shares - result, by layer, then expert
     */
    writeShares(timeMs: number, shares: ExpertLoads): void;
}

const DAY_MS = 86_400_000;
/** Standard deviation of the logarithm of popularity. */
const BASE_SPREAD = 0.8;
/** Amplitude of the logarithm of popularity over a day. */
const DAY_AMPLITUDE = 0.5;
const BURST_FACTOR = 4;
const BURST_EXPERTS = 6;
const BURST_MEAN_GAP_MS = 240_000;
const BURST_MIN_MS = 30_000;
const BURST_MAX_MS = 180_000;
const FLIP_PERIOD_MS = 3_000;
const FLIP_FACTOR = 6;

/** Changes the weight of one expert at one time. */
type Modulation = (timeMs: number, layer: number, expert: number) => number;

const nextNormal = (random: RandomSource): number =>
    Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat());

const createDay = ({ random, layers, experts }: PopularityModelOptions): Modulation => {
    const phases = Float64Array.from({ length: layers * experts }, () => random.nextFloat() * 2 * Math.PI);
    return (timeMs, layer, expert) =>
        Math.exp(DAY_AMPLITUDE * Math.sin(2 * Math.PI * timeMs / DAY_MS + phases[layer * experts + expert]!));
};

interface Burst {
    readonly startMs: number;
    readonly endMs: number;
    /** Hot experts of each layer. */
    readonly hotExperts: readonly ReadonlySet<number>[];
}

const pickExperts = (options: PopularityModelOptions, count: number): number[][] => {
    const all = Array.from({ length: options.experts }, (_, expert) => expert);
    return Array.from({ length: options.layers }, () => shuffled(options.random, all).slice(0, count));
};

const createBursts = (options: PopularityModelOptions): Modulation => {
    const { random } = options;
    const bursts: Burst[] = [];
    let timeMs = nextExponential(random, BURST_MEAN_GAP_MS);
    while (timeMs < options.durationMs) {
        const endMs = timeMs + random.nextInt(BURST_MIN_MS, BURST_MAX_MS);
        const hotExperts = pickExperts(options, BURST_EXPERTS).map(experts => new Set(experts));
        bursts.push({ startMs: timeMs, endMs, hotExperts });
        timeMs = endMs + nextExponential(random, BURST_MEAN_GAP_MS);
    }
    return (nowMs, layer, expert) => {
        const burst = bursts.find(({ startMs, endMs }) => startMs <= nowMs && nowMs < endMs);
        return burst?.hotExperts[layer]!.has(expert) ? BURST_FACTOR : 1;
    };
};

const createFlip = (options: PopularityModelOptions): Modulation => {
    const pairs = pickExperts(options, 2);
    return (timeMs, layer, expert) => {
        const hot = pairs[layer]![Math.floor(timeMs / FLIP_PERIOD_MS) % 2];
        return expert === hot ? FLIP_FACTOR : 1;
    };
};

const createModulation = (options: PopularityModelOptions): Modulation =>
    match(options.drift)
        .with("day", () => createDay(options))
        .with("burst", () => createBursts(options))
        .with("flip", () => createFlip(options))
        .with("calm", () => () => 1)
        .exhaustive();

/**
 * Creates the model.
 *
 * @param options - drift, size, duration and random numbers
 * @returns the model
 */
export const createPopularityModel = (options: PopularityModelOptions): PopularityModel => {
    const { layers, experts, random } = options;
    const base = Float64Array.from(
        { length: layers * experts },
        () => Math.exp(BASE_SPREAD * nextNormal(random)),
    );
    const modulation = createModulation(options);
    return {
        writeShares: (timeMs, shares) => {
            for (let layer = 0; layer < layers; layer++) {
                let sum = 0;
                for (let expert = 0; expert < experts; expert++) {
                    const index = layer * experts + expert;
                    shares[index] = base[index]! * modulation(timeMs, layer, expert);
                    sum += shares[index]!;
                }
                for (let index = layer * experts; index < (layer + 1) * experts; index++) {
                    shares[index]! /= sum;
                }
            }
        },
    };
};

const LARGE_MEAN = 30;

/**
 * Draws a count whose mean is known (Poisson; by its normal approximation where the mean is large).
 *
 * @param random - source of random numbers
 * @param mean - mean of the count
 * @returns the count
 */
export const drawCount = (random: RandomSource, mean: number): number => {
    if (mean > LARGE_MEAN) {
        return Math.max(0, Math.round(mean + Math.sqrt(mean) * nextNormal(random)));
    }
    const limit = Math.exp(-mean);
    let count = 0;
    for (let product = random.nextFloat(); product > limit; product *= random.nextFloat()) {
        count++;
    }
    return count;
};
