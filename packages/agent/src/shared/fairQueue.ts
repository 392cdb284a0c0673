/**
 * Queue with strict priority classes; within a class, client accounts share by deficit round robin.
 *
 * @packageDocumentation
 */

import { type FairQueueItem, PriorityClassQueue, type QueuePosition } from "./priorityClassQueue.ts";

/** Number of items in one priority class. */
export interface ClassCount {
    /** The priority class. */
    readonly priority: number;
    /** Number of items. */
    readonly count: number;
}

/** Priority queue that is fair between the accounts of a class. */
export class FairQueue<T extends FairQueueItem> {
    private readonly classes = new Map<number, PriorityClassQueue<T>>();
    private count = 0;

    /** Number of waiting items. */
    public get size(): number {
        return this.count;
    }

    /**
     * Appends an item to the backlog of its account in its priority class.
     *
     * @param item - the item
     */
    public push(item: T): void {
        let queue = this.classes.get(item.priority);
        if (!queue) {
            queue = new PriorityClassQueue();
            this.classes.set(item.priority, queue);
        }
        queue.push(item);
        this.count++;
    }

    /**
     * Removes the item to serve next, from the most urgent class and its account whose turn it is.
     *
     * @returns the item, or undefined if none waits
     */
    public shift(): T | undefined {
        const item = this.sortedByPriority().find(queue => queue.size > 0)?.shift();
        if (item) {
            this.count--;
        }
        return item;
    }

    /**
     * Removes a given item.
     *
     * @param item - the item
     * @returns false if it is not in this queue
     */
    public remove(item: T): boolean {
        const isRemoved = this.classes.get(item.priority)?.remove(item) ?? false;
        if (isRemoved) {
            this.count--;
        }
        return isRemoved;
    }

    /**
     * Counts the waiting items of each priority class.
     *
     * @returns the counts
     */
    public countByPriority(): ClassCount[] {
        return [...this.classes].map(([priority, queue]) => ({ priority, count: queue.size }));
    }

    /**
     * Estimates how many items are served before a given one, exact to one round of the accounts.
     *
     * @param item - the item, waiting or new
     * @param ownAhead - number of items of the same account and class ahead of it; by default all that wait
     * @returns the counts in the item's class and in the more urgent ones
     */
    public countAhead(item: T, ownAhead?: number): ClassCount[] {
        return [...this.classes]
            .filter(([priority]) => priority <= item.priority)
            .map(([priority, queue]) => {
                const isOwnClass = priority === item.priority;
                const own = ownAhead ?? queue.backlogSize(item.account);
                return { priority, count: isOwnClass ? queue.countAhead(item, own) : queue.size };
            });
    }

    /**
     * Lists the waiting items with their positions.
     *
     * @returns the positions, most urgent class first
     */
    public positions(): QueuePosition<T>[] {
        return this.sortedByPriority().flatMap(queue => queue.positions());
    }

    /**
     * Finds the item that a new one replaces when the queue is full: in the least urgent class with waiting
     * items, the newest item of the account whose newest item has the longest wait.
     *
     * @param item - the new item
     * @returns the item to refuse, or undefined if the new one has the weakest claim
     */
    public findEvictionCandidate(item: T): T | undefined {
        const leastUrgent = [...this.classes.entries()]
            .filter(([, queue]) => queue.size > 0)
            .reduce<[number, PriorityClassQueue<T>] | undefined>(
                (least, entry) => !least || entry[0] > least[0] ? entry : least,
                undefined,
            );
        if (!leastUrgent || leastUrgent[0] < item.priority) {
            return undefined;
        }
        const [priority, queue] = leastUrgent;
        const longestWait = queue.findLongestWait();
        if (priority === item.priority && (longestWait?.turns ?? 0) <= queue.turnsUntilServed(item)) {
            queue.recordRefusal(item);
            return undefined;
        }
        return longestWait?.item;
    }

    /**
     * Lists the waiting items.
     *
     * @returns a copy, most urgent class first
     */
    public items(): T[] {
        return this.sortedByPriority().flatMap(queue => queue.items());
    }

    private sortedByPriority(): PriorityClassQueue<T>[] {
        return [...this.classes].sort(([left], [right]) => left - right).map(([, queue]) => queue);
    }
}
