/**
 * Spreads the requests that all instances start between two reports over the servers.
 *
 * It handles the load pattern of many instances that know each other's requests only from reports: if each picks the
 * least loaded server, all pick the same one until the next report, and it gets more requests than it has slots.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";

/**
 * Selects a server at random. The chance of each is the part of the expected requests that it would get if they were
 * divided so that the least loaded servers fill up to an equal level.
 *
 * @param loads - load of each server, in requests
 * @param expected - requests that other instances have started since their reports, or will before they see this one
 * @param random - source of random numbers
 * @returns the index of the server; undefined if there are none
 */
export const spreadStart = (
    loads: readonly number[],
    expected: number,
    random: RandomSource,
): number | undefined => {
    const order = loads.map((_, index) => index).sort((left, right) => loads[left]! - loads[right]!);
    // The request itself has to find room, so that the least loaded server always has a chance.
    const toDivide = Math.max(0, expected) + 1;
    let filled = 0;
    let sum = 0;
    let level = 0;
    for (const index of order) {
        const load = loads[index]!;
        if (filled > 0 && filled * load - sum >= toDivide) {
            break;
        }
        filled++;
        sum += load;
        level = (toDivide + sum) / filled;
    }
    let draw = random.nextFloat() * toDivide;
    for (const index of order.slice(0, filled)) {
        draw -= level - loads[index]!;
        if (draw < 0) {
            return index;
        }
    }
    return order[0];
};
