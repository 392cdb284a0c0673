/**
 * Model of a platform store: items with revisions that can be read in pages and watched, and that can return from an
 * older copy of itself.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/** An item of a {@link RevisionedStore}. */
export interface RevisionedItem {
    readonly key: string;
    readonly text: string;
    /** Revision of the latest change. */
    readonly revision: number;
    /** Revision at which the item was created. */
    readonly created: number;
}

/** A change; without an item the key was removed. */
export interface RevisionedChange {
    readonly key: string;
    readonly revision: number;
    readonly item: RevisionedItem | undefined;
}

/** Copy of a store at one moment. */
export interface StoreCopy {
    readonly items: ReadonlyMap<string, RevisionedItem>;
    readonly changes: readonly RevisionedChange[];
    readonly revision: number;
}

const byKey = ({ key: left }: RevisionedItem, { key: right }: RevisionedItem): number =>
    left < right ? -1 : 1;

/** Items, their history and the era of the store. */
export class RevisionedStore {
    private items = new Map<string, RevisionedItem>();
    private changes: RevisionedChange[] = [];
    /** Changes after an earlier revision than this are not available. */
    private oldestRevision = 1;
    private currentRevision = 1;
    private currentEra = 1;
    private readonly pendingWatches = new Set<() => void>();

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /** Revision of the latest change. */
    public get revision(): number {
        return this.currentRevision;
    }

    /** Rises by one each time the store returns from a copy. */
    public get era(): number {
        return this.currentEra;
    }

    /**
     * Returns the text of an item.
     *
     * @param key - its key
     */
    public textOf(key: string): string | undefined {
        return this.items.get(key)?.text;
    }

    /**
     * Writes an item.
     *
     * @param key - key of the item
     * @param text - content of the item
     */
    public put(key: string, text: string): void {
        const revision = ++this.currentRevision;
        const created = this.items.get(key)?.created ?? revision;
        const item = { key, text, revision, created };
        this.items.set(key, item);
        this.recordChange({ key, revision, item });
    }

    /**
     * Removes an item.
     *
     * @param key - key of the item
     */
    public remove(key: string): void {
        this.items.delete(key);
        this.recordChange({ key, revision: ++this.currentRevision, item: undefined });
    }

    /** Discards the history of changes. */
    public compact(): void {
        this.changes = [];
        this.oldestRevision = this.currentRevision;
    }

    /** Copies the store as it is now. */
    public copy(): StoreCopy {
        return { items: new Map(this.items), changes: [...this.changes], revision: this.currentRevision };
    }

    /**
     * Returns from a copy: what was written since is lost, and its revisions are given out again.
     *
     * @param copy - the copy
     */
    public restore(copy: StoreCopy): void {
        this.items = new Map(copy.items);
        this.changes = [...copy.changes];
        this.currentRevision = copy.revision;
        this.currentEra++;
        this.wakeWatches();
    }

    /**
     * Reads a page of items in the order of their keys.
     *
     * @param prefix - prefix of the keys
     * @param after - key after which the page begins
     * @param limit - greatest number of items
     */
    public page(
        prefix: string,
        after: string,
        limit: number,
    ): { readonly items: readonly RevisionedItem[]; readonly hasMore: boolean; } {
        const items = [...this.items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort(byKey);
        return { items: items.slice(0, limit), hasMore: items.length > limit };
    }

    /**
     * Returns the changes after a revision.
     *
     * @param after - the revision
     * @param prefix - prefix of the keys
     * @returns the changes, oldest first; undefined if the store does not have this history
     */
    public changesAfter(after: number, prefix = ""): readonly RevisionedChange[] | undefined {
        if (after < this.oldestRevision || after > this.currentRevision) {
            return undefined;
        }
        return this.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    }

    /**
     * Waits for a change of any item.
     *
     * @param waitMs - maximum wait, in milliseconds
     * @param signal - ends the wait
     */
    public waitForChange(waitMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                timer.cancel();
                this.pendingWatches.delete(finish);
                resolve();
            };
            const timer = this.clock.setTimer(waitMs, finish);
            this.pendingWatches.add(finish);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }

    private recordChange(change: RevisionedChange): void {
        this.changes.push(change);
        this.wakeWatches();
    }

    private wakeWatches(): void {
        [...this.pendingWatches].forEach(finish => finish());
    }
}
