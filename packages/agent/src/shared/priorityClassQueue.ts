/**
 * Queue of one priority class: deficit round robin over the client accounts, in proportion to their weights.
 *
 * @packageDocumentation
 */

import Denque from "denque";

/** Scheduling attributes of a queued item. */
export interface FairQueueItem {
    /** Priority class; a smaller number is more urgent. */
    readonly priority: number;
    /** Client account of the item. */
    readonly account: string;
    /** Weight of the account, which sets its share under contention. */
    readonly weight: number;
}

/** Position of a waiting item. */
export interface QueuePosition<T> {
    /** The item. */
    readonly item: T;
    /** Number of items of the same account and priority class ahead of it. */
    readonly ownAhead: number;
}

/** Waiting items and scheduling state of one account. */
export interface AccountBacklog<T> {
    /** The account. */
    readonly account: string;
    /** Weight, which sets the account's share under contention. */
    weight: number;
    /** Deficit counter: earned starts that have not been used; one start costs 1. */
    deficit: number;
    /** Waiting items in order of arrival. */
    readonly items: Denque<T>;
    /** Consecutive turns in which nothing of the account was waiting. */
    idleTurns: number;
}

/** Upper bound of the deficit counter, in starts. */
const MAX_DEFICIT = 2;
/** Number of idle turns for which an account that was served or refused keeps earning deficit. */
const MAX_IDLE_TURNS = 32;

/** Smallest weight; also applies to accounts without a weight. */
export const MIN_WEIGHT = 1;

/** Deficit round robin over the accounts of one priority class. */
export class PriorityClassQueue<T extends FairQueueItem> {
    private readonly backlogs = new Map<string, AccountBacklog<T>>();
    private readonly rotation = new Denque<AccountBacklog<T>>();
    private count = 0;

    /** Number of waiting items. */
    public get size(): number {
        return this.count;
    }

    /**
     * Counts the waiting items of an account.
     *
     * @param account - the account
     * @returns number of items
     */
    public backlogSize(account: string): number {
        return this.backlogs.get(account)?.items.length ?? 0;
    }

    /**
     * Appends an item to the backlog of its account.
     *
     * @param item - the item
     */
    public push(item: T): void {
        const backlog = this.activateBacklog(item);
        backlog.items.push(item);
        backlog.idleTurns = 0;
        this.count++;
    }

    /**
     * Records that an item was refused because the queue was full. Its account keeps earning deficit;
     * otherwise an account with a small weight would never have the better claim in a short queue.
     *
     * @param item - the refused item
     */
    public recordRefusal(item: T): void {
        this.activateBacklog(item).idleTurns = 0;
    }

    /**
     * Removes the item to serve next.
     *
     * @returns the item, or undefined if none waits
     */
    public shift(): T | undefined {
        if (this.count === 0) {
            return undefined;
        }
        // The heaviest account earns a whole start in each round, so the loop ends within one round.
        const heaviest = Math.max(
            ...[...this.backlogs.values()].filter(({ items }) => items.length > 0).map(({ weight }) =>
                weight
            ),
        );
        for (;;) {
            const backlog = this.rotation.shift() as AccountBacklog<T>;
            backlog.deficit = Math.min(MAX_DEFICIT, backlog.deficit + backlog.weight / heaviest);
            if (backlog.items.length === 0) {
                this.requeueIdle(backlog);
                continue;
            }
            if (backlog.deficit < 1) {
                this.rotation.push(backlog);
                continue;
            }
            backlog.deficit -= 1;
            const item = backlog.items.shift();
            this.count--;
            this.requeueServed(backlog);
            return item;
        }
    }

    /**
     * Removes a given item.
     *
     * @param item - the item
     * @returns false if it is not in this queue
     */
    public remove(item: T): boolean {
        const backlog = this.backlogs.get(item.account);
        const index = backlog?.items.toArray().indexOf(item) ?? -1;
        if (!backlog || index < 0) {
            return false;
        }
        backlog.items.removeOne(index);
        this.count--;
        return true;
    }

    /**
     * Estimates how many items are served before a given one. The estimate is exact to one round.
     *
     * @param item - the item, waiting or new
     * @param ownAhead - number of items of the same account ahead of it
     * @returns number of items
     */
    public countAhead({ account, weight }: T, ownAhead: number): number {
        const rounds = (ownAhead + 1) / Math.max(MIN_WEIGHT, weight);
        let count = ownAhead;
        for (const backlog of this.backlogs.values()) {
            if (backlog.account !== account) {
                count += Math.min(backlog.items.length, Math.ceil(rounds * backlog.weight));
            }
        }
        return count;
    }

    /**
     * Computes how long a new item would wait at the end of its account's backlog.
     *
     * @param item - the new item
     * @returns the wait in turns of the account; the item that waits less has the better claim to a place
     */
    public turnsUntilServed(item: T): number {
        const backlog = this.backlogs.get(item.account);
        const count = (backlog?.items.length ?? 0) + 1;
        return (count - (backlog?.deficit ?? 0)) / Math.max(MIN_WEIGHT, item.weight);
    }

    /**
     * Finds the item with the longest wait in turns of its account, which has the weakest claim to its place.
     *
     * @returns the item and its wait in turns, or undefined if no item waits
     */
    public findLongestWait(): { readonly item: T; readonly turns: number; } | undefined {
        let longest: { readonly item: T; readonly turns: number; } | undefined;
        for (const { items, deficit, weight } of this.backlogs.values()) {
            const item = items.peekBack();
            const turns = (items.length - deficit) / weight;
            if (item && (!longest || turns > longest.turns)) {
                longest = { item, turns };
            }
        }
        return longest;
    }

    /** Waiting items, grouped by account in order of arrival. */
    public items(): T[] {
        return this.rotation.toArray().flatMap(({ items }) => items.toArray());
    }

    /** Waiting items with their positions. */
    public positions(): QueuePosition<T>[] {
        return this.rotation.toArray().flatMap(({ items }) =>
            items.toArray().map((item, ownAhead) => ({ item, ownAhead }))
        );
    }

    /** Finds the backlog of an account, or adds it to the rotation, and updates its weight. */
    private activateBacklog({ account, weight: configuredWeight }: T): AccountBacklog<T> {
        const weight = Math.max(MIN_WEIGHT, configuredWeight);
        let backlog = this.backlogs.get(account);
        if (!backlog) {
            backlog = { account, weight, deficit: 0, items: new Denque(), idleTurns: 0 };
            this.backlogs.set(account, backlog);
            this.rotation.push(backlog);
        }
        backlog.weight = weight;
        return backlog;
    }

    /**
     * Returns an account without waiting items to the rotation, where it keeps earning deficit because its
     * next call may arrive shortly. Drops the account after too many idle turns.
     */
    private requeueIdle(backlog: AccountBacklog<T>): void {
        backlog.idleTurns++;
        if (backlog.idleTurns > MAX_IDLE_TURNS) {
            this.backlogs.delete(backlog.account);
            return;
        }
        this.rotation.push(backlog);
    }

    private requeueServed(backlog: AccountBacklog<T>): void {
        backlog.idleTurns = 0;
        this.rotation.push(backlog);
    }
}
