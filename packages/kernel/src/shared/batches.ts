/**
 * Batching of queued items: the items that arrive while one batch is processed form the next batch.
 *
 * @packageDocumentation
 */

import type { AsyncQueue } from "./asyncQueue.ts";

/**
 * Reads a queue in batches.
 *
 * @param queue - the queue
 * @param maxItems - largest number of items in one batch
 * @returns batches of at least one item, until the queue ends
 */
export async function* readBatches<T>(queue: AsyncQueue<T>, maxItems: number): AsyncGenerator<T[]> {
    for (let first = await queue.next(); !first.done; first = await queue.next()) {
        yield [first.value, ...queue.takeQueued(maxItems - 1)];
    }
}
