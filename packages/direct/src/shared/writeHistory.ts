/**
 * Writes of items that were superseded or removed. They tell the content of an older copy of the store from a new
 * write: after the store returned from a copy, both have revisions below those that were known before.
 *
 * @packageDocumentation
 */

import { hash32 } from "@magnolialock/kernel";
import { LRUCache } from "lru-cache";
import type { ItemWrites, MergedVersion, PublishedItem } from "../types/publishedState.ts";

/** Maximum number of items whose superseded writes are remembered. */
const MAX_ITEMS = 2_048;
/** Maximum number of superseded writes of one item; a copy is some seconds old. */
const MAX_WRITES_PER_ITEM = 8;

/** Stands for the hash of a text in the record of a removal; hashes are not negative. */
const REMOVAL = -1;

/** Remembers superseded writes, each by its revision and the hash of its text. */
export class WriteHistory {
    private readonly writes = new LRUCache<string, ItemWrites["writes"]>({ max: MAX_ITEMS });

    /**
     * Records a write that another one, or a removal, has superseded.
     *
     * @param item - the item as it was
     */
    public record({ key, revision, text }: PublishedItem): void {
        this.add(key, [[revision, hash32(text)]]);
    }

    /**
     * Records a removal, which a later write may supersede.
     *
     * @param key - key of the item
     * @param revision - revision of the removal
     */
    public recordRemoval(key: string, revision: number): void {
        this.add(key, [[revision, REMOVAL]]);
    }

    /**
     * Tells whether a removal is known.
     *
     * @param key - key of the item
     * @param revision - revision of the removal
     */
    public includesRemoval(key: string, revision: number): boolean {
        return this.writes.get(key)?.some(([known, hash]) => known === revision && hash === REMOVAL) ?? false;
    }

    /**
     * Compares writes and removals; a write of a later era that was superseded before comes from the copy.
     *
     * @param incoming - a write or removal
     * @param known - what is known of the same item
     * @returns whether the incoming one is newer
     */
    public isNewer(incoming: MergedVersion, known: MergedVersion): boolean {
        if (incoming.era === known.era) {
            return incoming.revision > known.revision;
        }
        return incoming.era > known.era ? !this.wasSuperseded(incoming) : this.wasSuperseded(known);
    }

    /** Exports the history for another instance. */
    public export(): ItemWrites[] {
        return [...this.writes.entries()].map(([key, writes]) => ({ key, writes }));
    }

    /**
     * Adds the history that another instance knows.
     *
     * @param history - its writes
     */
    public import(history: readonly ItemWrites[]): void {
        history.forEach(({ key, writes }) => this.add(key, writes));
    }

    private wasSuperseded({ key, revision, text }: MergedVersion): boolean {
        if (key === undefined || text === undefined) {
            return false;
        }
        const hash = hash32(text);
        return this.writes.get(key)?.some(([known, knownHash]) => known === revision && knownHash === hash)
            ?? false;
    }

    private add(key: string, added: ItemWrites["writes"]): void {
        const known = this.writes.get(key) ?? [];
        const unknown = added.filter(([revision, hash]) =>
            !known.some(([knownRevision, knownHash]) => knownRevision === revision && knownHash === hash)
        );
        this.writes.set(key, [...known, ...unknown].slice(-MAX_WRITES_PER_ITEM));
    }
}
