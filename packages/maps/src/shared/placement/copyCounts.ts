/**
 * Number of copies of each expert in a layer.
 *
 * @packageDocumentation
 */

import TinyQueue from "tinyqueue";

/**
 * Chooses the number of copies: one for every expert, and each further copy for the expert with the most load
 * per copy.
 *
 * @param loads - load of each expert
 * @param slots - number of slots over all ranks, at least one for each expert
 * @param ranks - number of ranks, the most copies that one expert can use
 * @returns number of copies of each expert
 */
export const chooseCopyCounts = (loads: Float64Array, slots: number, ranks: number): Uint16Array => {
    const copies = new Uint16Array(loads.length).fill(1);
    const loadPerCopy = (expert: number): number => loads[expert]! / copies[expert]!;
    const queue = new TinyQueue(
        Array.from(loads, (_, expert) => expert),
        (left, right) => loadPerCopy(right) - loadPerCopy(left) || left - right,
    );
    for (let remaining = slots - loads.length; remaining > 0; remaining--) {
        const expert = queue.pop();
        if (expert === undefined) {
            break;
        }
        copies[expert]!++;
        if (copies[expert]! < ranks) {
            queue.push(expert);
        }
    }
    return copies;
};
