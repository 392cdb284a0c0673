/**
 * Interface to random numbers, so that a run can be repeated with its seed.
 *
 * @packageDocumentation
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers. */
export interface RandomSource {
    /** Uniform number in [0, 1). */
    nextFloat(): number;
    /**
     * Uniform integer.
     *
     * @param min - smallest value, inclusive
     * @param max - largest value, inclusive
     */
    nextInt(min: number, max: number): number;
    /**
     * Derives an independent source.
     *
     * @param label - name of the component that uses it; the same seed and label give the same numbers
     */
    fork(label: string): RandomSource;
}

/**
 * Derives a seed from a seed and a label (FNV-1a hash).
 *
 * @param seed - the seed
 * @param label - the label
 * @returns a 32-bit seed
 */
const deriveSeed = (seed: number, label: string): number => {
    let hash = 0x811c9dc5 ^ seed;
    for (const byte of Buffer.from(label)) {
        hash = Math.imul(hash ^ byte, 0x01000193);
    }
    return hash | 0;
};

/**
 * Creates a seeded source of random numbers.
 *
 * @param seed - 32-bit integer
 * @returns the source
 */
export const createRandomSource = (seed: number): RandomSource => {
    const generator = xoroshiro128plus(seed);
    return {
        nextFloat: () => uniformFloat64(generator),
        nextInt: (min, max) => uniformInt(generator, min, max),
        fork: label => createRandomSource(deriveSeed(seed, label)),
    };
};

/**
 * Shuffles a copy of a list.
 *
 * @param random - source of random numbers
 * @param items - the list
 * @returns a new list in random order
 */
export const shuffled = <T>(random: RandomSource, items: readonly T[]): T[] => {
    const result = [...items];
    for (let last = result.length - 1; last > 0; last--) {
        const other = random.nextInt(0, last);
        [result[last], result[other]] = [result[other] as T, result[last] as T];
    }
    return result;
};

/**
 * Draws a number from an exponential distribution.
 *
 * @param random - source of random numbers
 * @param mean - mean of the distribution
 * @returns a non-negative number
 */
export const nextExponential = (random: RandomSource, mean: number): number =>
    -Math.log(1 - random.nextFloat()) * mean;
