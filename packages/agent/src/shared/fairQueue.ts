/**
 * Queue with priority classes; inside a class, the client account that has had the least for its weight goes first.
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

interface Account<T> {
    readonly name: string;
    weight: number;
    /** Starts that the account has had over its weight; grows to the queue's time while the account waits. */
    timeStarts: number;
    readonly items: Denque<T>;
}

const MIN_WEIGHT = 1;
/** How far an account that did not get its share may lie behind the others, in starts over weight. */
const CREDIT_STARTS = 2;
/** Accounts that are remembered before those without credit are forgotten. */
const MAX_IDLE_ACCOUNTS = 1_024;

/** Accounts of one class; the one that has had the least for its weight is next. */
class PriorityClassQueue<T extends FairQueueItem> {
    private readonly accounts = new Map<string, Account<T>>();
    private timeStarts = 0;
    private count = 0;

    public get size(): number {
        return this.count;
    }

    public push(item: T): void {
        const account = this.accountOf(item);
        if (account.items.length === 0) {
            account.timeStarts = Math.max(account.timeStarts, this.timeStarts - CREDIT_STARTS);
        }
        account.items.push(item);
        this.count++;
    }

    public shift(): T | undefined {
        let next: Account<T> | undefined;
        for (const account of this.accounts.values()) {
            const isWaiting = account.items.length > 0;
            if (isWaiting && (!next || this.claimAfter(account, 1) < this.claimAfter(next, 1))) {
                next = account;
            }
        }
        if (!next) {
            return undefined;
        }
        next.timeStarts = this.claimAfter(next, 1);
        this.timeStarts = Math.max(this.timeStarts, next.timeStarts);
        this.count--;
        return next.items.shift();
    }

    public remove(item: T): boolean {
        const account = this.accounts.get(item.account);
        const index = account?.items.toArray().indexOf(item) ?? -1;
        if (!account || index < 0) {
            return false;
        }
        account.items.removeOne(index);
        this.count--;
        return true;
    }

    /** Newest item of the account that would be served last. */
    public lastServed(): T | undefined {
        return this.lastAccount()?.items.peekBack();
    }

    /** Whether a new item would be served after everything that waits, or only its own account waits last. */
    public isLast(item: T): boolean {
        const last = this.lastAccount();
        if (!last || last.name === item.account) {
            return true;
        }
        const account = this.accountOf(item);
        const timeStarts = account.items.length === 0
            ? Math.max(account.timeStarts, this.timeStarts - CREDIT_STARTS)
            : account.timeStarts;
        const claim = timeStarts + (account.items.length + 1) / account.weight;
        return this.claimAfter(last, last.items.length) <= claim;
    }

    public items(): T[] {
        return [...this.accounts.values()].flatMap(({ items }) => items.toArray());
    }

    private claimAfter({ timeStarts, weight }: Account<T>, starts: number): number {
        return timeStarts + starts / weight;
    }

    private lastAccount(): Account<T> | undefined {
        let last: Account<T> | undefined;
        for (const account of this.accounts.values()) {
            const claim = this.claimAfter(account, account.items.length);
            if (account.items.length > 0 && (!last || claim > this.claimAfter(last, last.items.length))) {
                last = account;
            }
        }
        return last;
    }

    private accountOf(item: T): Account<T> {
        const weight = Math.max(MIN_WEIGHT, item.weight);
        let account = this.accounts.get(item.account);
        if (!account) {
            this.forgetIdle();
            account = { name: item.account, weight, timeStarts: this.timeStarts, items: new Denque() };
            this.accounts.set(item.account, account);
        }
        account.weight = weight;
        return account;
    }

    private forgetIdle(): void {
        if (this.accounts.size < MAX_IDLE_ACCOUNTS) {
            return;
        }
        for (const { name, items } of [...this.accounts.values()]) {
            if (items.length === 0) {
                this.accounts.delete(name);
            }
        }
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
     * Finds the item that should give its place to a new one when the queue is full: the newest of the account
     * that would be served last in the least urgent class.
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
        return priority === item.priority && queue.isLast(item) ? undefined : queue.lastServed();
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
