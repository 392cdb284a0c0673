/**
 * How many copies each expert of a layer gets.
 *
 * @packageDocumentation
 */

import TinyQueue from "tinyqueue";

/**
 * Gives every expert one copy and each further copy to the expert with the most load per copy.
 *
 * @param loads - load of each expert
 * @param slots - slots over all ranks, at least one for each expert
 * @param ranks - most copies that one expert can use
 * @returns copies of each expert
 */
export const chooseCopyCounts = (loads: Float64Array, slots: number, ranks: number): Uint16Array => {
    const copies = new Uint16Array(loads.length).fill(1);
    const loadPerCopy = (expert: number): number => loads[expert]! / copies[expert]!;
    const queue = new TinyQueue(
        Array.from(loads, (_, expert) => expert),
        (left, right) => loadPerCopy(right) - loadPerCopy(left) || left - right,
    );
    for (let spare = slots - loads.length; spare > 0; spare--) {
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
