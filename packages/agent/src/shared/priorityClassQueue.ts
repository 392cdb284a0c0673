/**
 * What waits in one class of urgency; client accounts take turns by weight.
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

/** Place of a waiting item. */
export interface QueuePosition<T> {
    /** The item. */
    readonly item: T;
    /** Items of its own account and class before it. */
    readonly ownAhead: number;
}

/** What waits of one account. */
export interface AccountBacklog<T> {
    /** The account. */
    readonly account: string;
    /** Its share under contention. */
    weight: number;
    /** Starts that the account has earned, in units of one start. */
    deficit: number;
    /** Its items in the order of their arrival. */
    readonly items: Denque<T>;
    /** Turns in a row in which it had nothing waiting. */
    idleTurns: number;
}

/** Most starts that an account can earn ahead. */
const MAX_DEFICIT = 2;
/** An account that was served or refused keeps earning its turn for so many rounds. */
const MAX_IDLE_TURNS = 32;

/** Weight of an account that has none. */
export const MIN_WEIGHT = 1;

/** Accounts of one class in the order of their turns (deficit round robin). */
export class PriorityClassQueue<T extends FairQueueItem> {
    private readonly backlogs = new Map<string, AccountBacklog<T>>();
    private readonly round = new Denque<AccountBacklog<T>>();
    private count = 0;

    /** Items that wait. */
    public get size(): number {
        return this.count;
    }

    /**
     * Counts what waits of an account.
     *
     * @param account - the account
     * @returns number of items
     */
    public backlogOf(account: string): number {
        return this.backlogs.get(account)?.items.length ?? 0;
    }

    /**
     * Adds an item behind those of its account.
     *
     * @param item - the item
     */
    public push(item: T): void {
        const backlog = this.join(item);
        backlog.items.push(item);
        backlog.idleTurns = 0;
        this.count++;
    }

    /**
     * Notes that an item found no place. Its account keeps earning its turn, else one with a small weight would never
     * have the better claim in a short queue.
     *
     * @param item - the item
     */
    public noteRefused(item: T): void {
        this.join(item).idleTurns = 0;
    }

    /**
     * Takes the item whose turn it is.
     *
     * @returns the item, or undefined when nothing waits
     */
    public shift(): T | undefined {
        if (this.count === 0) {
            return undefined;
        }
        // The heaviest account earns a whole start in each round, so this ends within one round.
        const heaviest = Math.max(
            ...[...this.backlogs.values()].filter(({ items }) => items.length > 0).map(({ weight }) =>
                weight
            ),
        );
        for (;;) {
            const backlog = this.round.shift() as AccountBacklog<T>;
            backlog.deficit = Math.min(MAX_DEFICIT, backlog.deficit + backlog.weight / heaviest);
            if (backlog.items.length === 0) {
                this.keepClaim(backlog);
                continue;
            }
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

    /**
     * Removes an item.
     *
     * @param item - the item
     * @returns false when it does not wait here
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
     * Estimates what has its turn before an item, exact to one round.
     *
     * @param item - the item, waiting or new
     * @param ownAhead - items of its own account before it
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
     * Tells how long an item at the end of its account's backlog would wait, in turns of the account.
     *
     * @param item - the item
     * @returns the turns; an item that waits less has the better claim
     */
    public turnsOfNew(item: T): number {
        const backlog = this.backlogs.get(item.account);
        const count = (backlog?.items.length ?? 0) + 1;
        return (count - (backlog?.deficit ?? 0)) / Math.max(MIN_WEIGHT, item.weight);
    }

    /** Item that waits longest by the turns of its account, with those turns. */
    public weakestClaim(): { readonly item: T; readonly turns: number; } | undefined {
        let weakest: { readonly item: T; readonly turns: number; } | undefined;
        for (const { items, deficit, weight } of this.backlogs.values()) {
            const item = items.peekBack();
            const turns = (items.length - deficit) / weight;
            if (item && (!weakest || turns > weakest.turns)) {
                weakest = { item, turns };
            }
        }
        return weakest;
    }

    /** Items of each account in their order, account after account. */
    public items(): T[] {
        return this.round.toArray().flatMap(({ items }) => items.toArray());
    }

    /** Items with their places. */
    public positions(): QueuePosition<T>[] {
        return this.round.toArray().flatMap(({ items }) =>
            items.toArray().map((item, ownAhead) => ({ item, ownAhead }))
        );
    }

    /** Gives an account its place in the round. */
    private join({ account, weight: givenWeight }: T): AccountBacklog<T> {
        const weight = Math.max(MIN_WEIGHT, givenWeight);
        let backlog = this.backlogs.get(account);
        if (!backlog) {
            backlog = { account, weight, deficit: 0, items: new Denque(), idleTurns: 0 };
            this.backlogs.set(account, backlog);
            this.round.push(backlog);
        }
        backlog.weight = weight;
        return backlog;
    }

    /** An account with nothing waiting keeps earning for a while: its next call may come in a moment. */
    private keepClaim(backlog: AccountBacklog<T>): void {
        backlog.idleTurns++;
        if (backlog.idleTurns > MAX_IDLE_TURNS) {
            this.backlogs.delete(backlog.account);
            return;
        }
        this.round.push(backlog);
    }

    private keepTurn(backlog: AccountBacklog<T>): void {
        backlog.idleTurns = 0;
        this.round.push(backlog);
    }
}
