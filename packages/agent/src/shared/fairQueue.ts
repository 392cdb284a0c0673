/**
 * Queue with priority classes; inside a class, client accounts take turns by weight (deficit round robin).
 *
 * @packageDocumentation
 */

import { type FairQueueItem, PriorityClassQueue, type QueuePosition } from "./priorityClassQueue.ts";

/** How much waits in one class. */
export interface ClassCount {
    /** The class. */
    readonly priority: number;
    /** Items. */
    readonly count: number;
}

/** Queue of waiting calls. */
export class FairQueue<T extends FairQueueItem> {
    private readonly classes = new Map<number, PriorityClassQueue<T>>();
    private count = 0;

    /** Items that wait. */
    public get size(): number {
        return this.count;
    }

    /**
     * Adds an item behind those of its account.
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
     * Takes the next item: from the most urgent class, from the account whose turn it is.
     *
     * @returns the item, or undefined when nothing waits
     */
    public shift(): T | undefined {
        const item = this.byUrgency().find(queue => queue.size > 0)?.shift();
        if (item) {
            this.count--;
        }
        return item;
    }

    /**
     * Removes an item.
     *
     * @param item - the item
     * @returns false when it does not wait here
     */
    public remove(item: T): boolean {
        const isRemoved = this.classes.get(item.priority)?.remove(item) ?? false;
        if (isRemoved) {
            this.count--;
        }
        return isRemoved;
    }

    /**
     * Counts what waits in each class.
     *
     * @returns the counts
     */
    public countByPriority(): ClassCount[] {
        return [...this.classes].map(([priority, queue]) => ({ priority, count: queue.size }));
    }

    /**
     * Estimates what has its turn before an item, exact to one round of the accounts.
     *
     * @param item - the item, waiting or new
     * @param ownAhead - items of its own account and class before it; by default all that wait
     * @returns the counts of the item's class and of the more urgent ones
     */
    public countAhead(item: T, ownAhead?: number): ClassCount[] {
        return [...this.classes]
            .filter(([priority]) => priority <= item.priority)
            .map(([priority, queue]) => {
                const isOwnClass = priority === item.priority;
                const own = ownAhead ?? queue.backlogOf(item.account);
                return { priority, count: isOwnClass ? queue.countAhead(item, own) : queue.size };
            });
    }

    /**
     * Lists what waits with its places.
     *
     * @returns the places, the most urgent class first
     */
    public positions(): QueuePosition<T>[] {
        return this.byUrgency().flatMap(queue => queue.positions());
    }

    /**
     * Finds the item that should give its place to a new one when the queue is full: in the least urgent class, the
     * newest item of the account that waits longest for its turn there.
     *
     * @param item - the new item
     * @returns the item to refuse, or undefined when the new one has the weakest claim
     */
    public findVictim(item: T): T | undefined {
        const worst = [...this.classes.entries()]
            .filter(([, queue]) => queue.size > 0)
            .reduce<[number, PriorityClassQueue<T>] | undefined>(
                (least, entry) => !least || entry[0] > least[0] ? entry : least,
                undefined,
            );
        if (!worst || worst[0] < item.priority) {
            return undefined;
        }
        const [priority, queue] = worst;
        const weakest = queue.weakestClaim();
        if (priority === item.priority && (weakest?.turns ?? 0) <= queue.turnsOfNew(item)) {
            queue.noteRefused(item);
            return undefined;
        }
        return weakest?.item;
    }

    /**
     * Lists what waits.
     *
     * @returns a copy, the most urgent class first
     */
    public items(): T[] {
        return this.byUrgency().flatMap(queue => queue.items());
    }

    private byUrgency(): PriorityClassQueue<T>[] {
        return [...this.classes].sort(([left], [right]) => left - right).map(([, queue]) => queue);
    }
}
