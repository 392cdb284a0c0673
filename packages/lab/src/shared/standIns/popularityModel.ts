/**
 * Simulated expert popularity: the distribution of a group's tokens over its experts as a function of time.
 *
 * @packageDocumentation
 */

import { nextExponential, type RandomSource, shuffled } from "@magnolialock/kernel";
import type { ExpertLoads } from "@magnolialock/maps";
import { match } from "ts-pattern";

/**
 * Patterns in which popularity changes: a daily cycle, bursts of a few hot experts, two experts of each layer
 * that alternate, or no change.
 */
export const DRIFTS = ["day", "burst", "flip", "calm"] as const;

/** One pattern in which popularity changes. */
export type Drift = typeof DRIFTS[number];

/** Options of {@link createPopularityModel}. */
export interface PopularityModelOptions {
    /** Pattern in which popularity changes. */
    readonly drift: Drift;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Number of layers with experts. */
    readonly layers: number;
    /** Number of experts in each layer. */
    readonly experts: number;
    /** Time span that the model must cover, in milliseconds. */
    readonly durationMs: number;
}

/** Popularity of experts as a function of time. */
export interface PopularityModel {
    /**
     * Computes the share of its layer's tokens that each expert gets.
     *
     * @param timeMs - time since the start, in milliseconds
     * @param shares - output, by layer, then expert; the shares of a layer add up to 1
     */
    writeShares(timeMs: number, shares: ExpertLoads): void;
}

const DAY_MS = 86_400_000;
/** Standard deviation of the logarithm of the experts' base popularity. */
const BASE_LOG_STD_DEV = 0.8;
/** Amplitude of the daily cycle of the logarithm of popularity. */
const DAILY_LOG_AMPLITUDE = 0.5;
const BURST_FACTOR = 4;
const BURST_EXPERTS = 6;
const BURST_MEAN_GAP_MS = 240_000;
const BURST_MIN_MS = 30_000;
const BURST_MAX_MS = 180_000;
const ALTERNATION_PERIOD_MS = 3_000;
const ALTERNATION_FACTOR = 6;

/** Returns the factor on the base popularity of an expert at a given time. */
type Modulation = (timeMs: number, layer: number, expert: number) => number;

const nextNormal = (random: RandomSource): number =>
    Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat());

const createDailyCycle = ({ random, layers, experts }: PopularityModelOptions): Modulation => {
    const phases = Float64Array.from({ length: layers * experts }, () => random.nextFloat() * 2 * Math.PI);
    return (timeMs, layer, expert) =>
        Math.exp(
            DAILY_LOG_AMPLITUDE * Math.sin(2 * Math.PI * timeMs / DAY_MS + phases[layer * experts + expert]!),
        );
};

interface Burst {
    readonly startMs: number;
    readonly endMs: number;
    /** Hot experts of each layer. */
    readonly hotExperts: readonly ReadonlySet<number>[];
}

const pickExpertsByLayer = (options: PopularityModelOptions, count: number): number[][] => {
    const all = Array.from({ length: options.experts }, (_, expert) => expert);
    return Array.from({ length: options.layers }, () => shuffled(options.random, all).slice(0, count));
};

const createBursts = (options: PopularityModelOptions): Modulation => {
    const { random } = options;
    const bursts: Burst[] = [];
    let timeMs = nextExponential(random, BURST_MEAN_GAP_MS);
    while (timeMs < options.durationMs) {
        const endMs = timeMs + random.nextInt(BURST_MIN_MS, BURST_MAX_MS);
        const hotExperts = pickExpertsByLayer(options, BURST_EXPERTS).map(experts => new Set(experts));
        bursts.push({ startMs: timeMs, endMs, hotExperts });
        timeMs = endMs + nextExponential(random, BURST_MEAN_GAP_MS);
    }
    return (nowMs, layer, expert) => {
        const burst = bursts.find(({ startMs, endMs }) => startMs <= nowMs && nowMs < endMs);
        return burst?.hotExperts[layer]!.has(expert) ? BURST_FACTOR : 1;
    };
};

const createAlternation = (options: PopularityModelOptions): Modulation => {
    const pairs = pickExpertsByLayer(options, 2);
    return (timeMs, layer, expert) => {
        const hot = pairs[layer]![Math.floor(timeMs / ALTERNATION_PERIOD_MS) % 2];
        return expert === hot ? ALTERNATION_FACTOR : 1;
    };
};

const createModulation = (options: PopularityModelOptions): Modulation =>
    match(options.drift)
        .with("day", () => createDailyCycle(options))
        .with("burst", () => createBursts(options))
        .with("flip", () => createAlternation(options))
        .with("calm", () => () => 1)
        .exhaustive();

/**
 * Creates a popularity model. The experts' base popularity has a log-normal distribution.
 *
 * @param options - pattern of change, size, duration and source of random numbers
 * @returns the model
 */
export const createPopularityModel = (options: PopularityModelOptions): PopularityModel => {
    const { layers, experts, random } = options;
    const baseWeights = Float64Array.from(
        { length: layers * experts },
        () => Math.exp(BASE_LOG_STD_DEV * nextNormal(random)),
    );
    const modulation = createModulation(options);
    return {
        writeShares: (timeMs, shares) => {
            for (let layer = 0; layer < layers; layer++) {
                let sum = 0;
                for (let expert = 0; expert < experts; expert++) {
                    const index = layer * experts + expert;
                    shares[index] = baseWeights[index]! * modulation(timeMs, layer, expert);
                    sum += shares[index]!;
                }
                for (let index = layer * experts; index < (layer + 1) * experts; index++) {
                    shares[index]! /= sum;
                }
            }
        },
    };
};

/** Mean above which the normal approximation of the Poisson distribution is used. */
const MAX_EXACT_POISSON_MEAN = 30;

/**
 * Draws a number from a Poisson distribution, by its normal approximation if the mean is large.
 *
 * @param random - source of random numbers
 * @param mean - mean of the distribution
 * @returns a non-negative integer
 */
export const drawPoisson = (random: RandomSource, mean: number): number => {
    if (mean > MAX_EXACT_POISSON_MEAN) {
        return Math.max(0, Math.round(mean + Math.sqrt(mean) * nextNormal(random)));
    }
    const limit = Math.exp(-mean);
    let count = 0;
    for (let product = random.nextFloat(); product > limit; product *= random.nextFloat()) {
        count++;
    }
    return count;
};
