/**
 * Number of entries that watch this agent's state. Entries divide the account limits by this number.
 *
 * @packageDocumentation
 */

/** Counts the open watches of each entry; an entry that reconnects may briefly have two. */
export class WatchingEntries {
    private readonly watches = new Map<string, number>();

    /** Number of entries with at least one open watch. */
    public get count(): number {
        return this.watches.size;
    }

    /**
     * Registers a watch.
     *
     * @param entry - name of the entry
     * @returns the registration; disposing it ends the watch
     */
    public register(entry: string): Disposable {
        this.watches.set(entry, (this.watches.get(entry) ?? 0) + 1);
        return { [Symbol.dispose]: () => this.unregister(entry) };
    }

    private unregister(entry: string): void {
        const remaining = (this.watches.get(entry) ?? 0) - 1;
        if (remaining > 0) {
            this.watches.set(entry, remaining);
            return;
        }
        this.watches.delete(entry);
    }
}
