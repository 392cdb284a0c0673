/**
 * Unbounded queue that is read as an async iterable.
 *
 * @packageDocumentation
 */

import Denque from "denque";

/** Queue with a writing side and a reading side; reads wait while the queue is empty. */
export class AsyncQueue<T> implements AsyncIterableIterator<T, undefined> {
    private readonly items = new Denque<T>();
    private readonly waitingReaders = new Denque<{
        resolve: (result: IteratorResult<T, undefined>) => void;
        reject: (error: unknown) => void;
    }>();
    private ended = false;
    private failure: { readonly error: unknown; } | undefined;
    private onReturn: (() => void) | undefined;

    /** @param onReturn - called when the reader stops early */
    public constructor(onReturn?: () => void) {
        this.onReturn = onReturn;
    }

    /** Number of queued items. */
    public get size(): number {
        return this.items.length;
    }

    /** Whether `close` or `fail` was called. */
    public get isClosed(): boolean {
        return this.ended;
    }

    /**
     * Adds an item; ignored once the queue is closed.
     *
     * @param item - the item
     */
    public push(item: T): void {
        if (this.ended) {
            return;
        }
        const reader = this.waitingReaders.shift();
        if (reader) {
            reader.resolve({ value: item, done: false });
            return;
        }
        this.items.push(item);
    }

    /** Closes the queue; the queued items can still be read. */
    public close(): void {
        this.ended = true;
        for (let reader = this.waitingReaders.shift(); reader; reader = this.waitingReaders.shift()) {
            reader.resolve({ value: undefined, done: true });
        }
    }

    /**
     * Closes the queue with an error, which the reader gets after the queued items.
     *
     * @param error - error that rejects the read
     */
    public fail(error: unknown): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        const reader = this.waitingReaders.shift();
        if (reader) {
            reader.reject(error);
            this.close();
            return;
        }
        this.failure = { error };
    }

    /** {@inheritDoc AsyncIterableIterator.next} */
    public next(): Promise<IteratorResult<T, undefined>> {
        if (this.items.length > 0) {
            return Promise.resolve({ value: this.items.shift() as T, done: false });
        }
        if (this.failure) {
            const { error } = this.failure;
            this.failure = undefined;
            return Promise.reject(error);
        }
        if (this.ended) {
            return Promise.resolve({ value: undefined, done: true });
        }
        return new Promise((resolve, reject) => this.waitingReaders.push({ resolve, reject }));
    }

    /**
     * Takes queued items without waiting for more.
     *
     * @param maxItems - largest number of items to take
     * @returns the items in order
     */
    public takeQueued(maxItems: number): T[] {
        const items: T[] = [];
        while (items.length < maxItems && this.items.length > 0) {
            items.push(this.items.shift() as T);
        }
        return items;
    }

    /** Stops reading; the queued items are dropped. */
    public return(): Promise<IteratorResult<T, undefined>> {
        this.items.clear();
        this.close();
        this.onReturn?.();
        this.onReturn = undefined;
        return Promise.resolve({ value: undefined, done: true });
    }

    /** The queue is its own iterator. */
    public [Symbol.asyncIterator](): this {
        return this;
    }
}
