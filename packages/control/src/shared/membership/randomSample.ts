/**
 * Random sampling without shuffling the whole list.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";

/**
 * Draws a random sample without replacement.
 *
 * @param random - source of random numbers
 * @param items - items to draw from
 * @param count - maximum number of items
 * @returns the sample in random order
 */
export const randomSample = <T>(random: RandomSource, items: readonly T[], count: number): T[] => {
    const wanted = Math.min(count, items.length);
    const moved = new Map<number, number>();
    return Array.from({ length: wanted }, (_, position) => {
        const last = items.length - 1 - position;
        const chosen = random.nextInt(0, last);
        const item = items[moved.get(chosen) ?? chosen] as T;
        moved.set(chosen, moved.get(last) ?? last);
        return item;
    });
};
