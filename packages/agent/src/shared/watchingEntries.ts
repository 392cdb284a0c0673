/**
 * Counts the entries that watch this agent. Entries share account limits by this count.
 *
 * @packageDocumentation
 */

/** Entries by the number of their watches; an entry that reconnects may have two for a moment. */
export class WatchingEntries {
    private readonly watches = new Map<string, number>();

    /** Entries that watch. */
    public get count(): number {
        return this.watches.size;
    }

    /**
     * Counts a watch until the result is disposed.
     *
     * @param entry - name of the entry
     * @returns disposing it ends the watch
     */
    public enter(entry: string): Disposable {
        this.watches.set(entry, (this.watches.get(entry) ?? 0) + 1);
        return { [Symbol.dispose]: () => this.leave(entry) };
    }

    private leave(entry: string): void {
        const left = (this.watches.get(entry) ?? 0) - 1;
        if (left > 0) {
            this.watches.set(entry, left);
            return;
        }
        this.watches.delete(entry);
    }
}
