/**
 * Queue with priority classes; inside a class, client accounts take turns by weight (deficit round robin).
 *
 * @packageDocumentation
 */

import Denque from "denque";

/** What the queue needs to know of an item. */
export interface FairQueueItem {
    /** Class of urgency, smaller is more urgent. */
    readonly priority: number;
    /** Client account that it belongs to. */
    readonly account: string;
    /** Share of the account under contention. */
    readonly weight: number;
}

interface AccountBacklog<T> {
    readonly account: string;
    weight: number;
    /** Starts that the account has earned, in units of one start. */
    deficit: number;
    readonly items: Denque<T>;
}

const MIN_WEIGHT = 1;

/** Accounts of one class in the order of their turns. */
class PriorityClassQueue<T extends FairQueueItem> {
    private readonly backlogs = new Map<string, AccountBacklog<T>>();
    private readonly round = new Denque<AccountBacklog<T>>();
    private count = 0;

    public get size(): number {
        return this.count;
    }

    public backlogOf(account: string): number {
        return this.backlogs.get(account)?.items.length ?? 0;
    }

    public push(item: T): void {
        const weight = Math.max(MIN_WEIGHT, item.weight);
        let backlog = this.backlogs.get(item.account);
        if (!backlog) {
            backlog = { account: item.account, weight, deficit: 0, items: new Denque() };
            this.backlogs.set(item.account, backlog);
            this.round.push(backlog);
        }
        backlog.weight = weight;
        backlog.items.push(item);
        this.count++;
    }

    public shift(): T | undefined {
        if (this.count === 0) {
            return undefined;
        }
        // The heaviest account earns a whole start in each round, so this ends within one round.
        const heaviest = Math.max(...[...this.backlogs.values()].map(({ weight }) => weight));
        for (;;) {
            const backlog = this.round.shift() as AccountBacklog<T>;
            backlog.deficit += backlog.weight / heaviest;
            if (backlog.deficit < 1) {
                this.round.push(backlog);
                continue;
            }
            backlog.deficit -= 1;
            const item = backlog.items.shift();
            this.count--;
            this.keepTurn(backlog);
            return item;
        }
    }

    public remove(item: T): boolean {
        const backlog = this.backlogs.get(item.account);
        const index = backlog?.items.toArray().indexOf(item) ?? -1;
        if (!backlog || index < 0) {
            return false;
        }
        backlog.items.removeOne(index);
        this.count--;
        if (backlog.items.length === 0) {
            this.round.removeOne(this.round.toArray().indexOf(backlog));
            this.backlogs.delete(backlog.account);
        }
        return true;
    }

    /** Account with the longest backlog for its weight. */
    public longestBacklog(): AccountBacklog<T> | undefined {
        let longest: AccountBacklog<T> | undefined;
        for (const backlog of this.backlogs.values()) {
            if (!longest || backlog.items.length / backlog.weight > longest.items.length / longest.weight) {
                longest = backlog;
            }
        }
        return longest;
    }

    public items(): T[] {
        return this.round.toArray().flatMap(({ items }) => items.toArray());
    }

    private keepTurn(backlog: AccountBacklog<T>): void {
        if (backlog.items.length === 0) {
            this.backlogs.delete(backlog.account);
            return;
        }
        this.round.push(backlog);
    }
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
     * @returns pairs of class and count, the most urgent class first
     */
    public countByPriority(): { readonly priority: number; readonly count: number; }[] {
        return [...this.classes]
            .map(([priority, queue]) => ({ priority, count: queue.size }))
            .sort((left, right) => left.priority - right.priority);
    }

    /**
     * Finds the item that should give its place to a new one when the queue is full: the newest of the account with
     * the longest backlog for its weight in the least urgent class.
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
        const longest = queue.longestBacklog();
        if (priority === item.priority && longest) {
            const ownShare = (queue.backlogOf(item.account) + 1) / Math.max(MIN_WEIGHT, item.weight);
            if (longest.account === item.account || longest.items.length / longest.weight <= ownShare) {
                return undefined;
            }
        }
        return longest?.items.peekBack();
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
