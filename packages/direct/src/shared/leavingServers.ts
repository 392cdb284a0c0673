/**
 * Remembers which backend servers have said in an answer that they leave. That holds until the end of the
 * server's process: a later answer without the word does not take it back, and neither does the platform.
 *
 * Instances tell each other at once, and hand all of it to an instance that starts. Servers are named by a key, so
 * that an instance can hear of one that it does not know yet.
 *
 * @packageDocumentation
 */

import { LRUCache } from "lru-cache";
import type { PeerNews } from "../types/peerNews.ts";

/** Who said that a server leaves. */
export type LeavingOrigin = "answer" | "peer";

/** Called when it becomes known that a server leaves; gets the key of its process. */
export type LeavingListener = (key: number, origin: LeavingOrigin) => void;

/** Maximum number of processes that are remembered: more than a large fleet replaces at a time. */
const MAX_PROCESSES = 1_024;
/** Keys in a sample. */
const SAMPLE_SIZE = 5;

/** Processes of backend servers that leave. */
export class LeavingServers {
    private readonly keys = new LRUCache<number, true>({ max: MAX_PROCESSES });
    private readonly fresh = new Set<number>();
    private nextSample = 0;
    private newsListener: () => void = () => {};
    private listener: LeavingListener = () => {};

    /**
     * Tells whether a server has said that it leaves.
     *
     * @param key - key of its process
     */
    public has(key: number): boolean {
        return this.keys.has(key);
    }

    /**
     * Records that a server has said in an answer that it leaves.
     *
     * @param key - key of its process
     */
    public add(key: number): void {
        this.insert(key, "answer");
    }

    /** Keys of all processes that leave. */
    public all(): PeerNews["leaving"] {
        return [...this.keys.keys()];
    }

    /**
     * Takes over what another instance knows.
     *
     * @param keys - keys of processes that leave
     */
    public merge(keys: PeerNews["leaving"]): void {
        for (const key of keys) {
            this.insert(key, "peer");
        }
    }

    /** {@inheritDoc NewsSource.takeFresh} */
    public takeFresh(): PeerNews["leaving"] {
        const keys = [...this.fresh];
        this.fresh.clear();
        return keys;
    }

    /** Returns a few keys, in turn. */
    public sampleNews(): PeerNews["leaving"] {
        const keys = this.all();
        const sample = Array.from(
            { length: Math.min(SAMPLE_SIZE, keys.length) },
            (_, index) => keys[(this.nextSample + index) % keys.length] as number,
        );
        this.nextSample = (this.nextSample + SAMPLE_SIZE) % Math.max(1, keys.length);
        return sample;
    }

    /** {@inheritDoc NewsSource.onFreshNews} */
    public onFreshNews(listener: () => void): void {
        this.newsListener = listener;
    }

    /**
     * Registers the listener that is called when it becomes known that a server leaves.
     *
     * @param listener - the listener
     */
    public onLeaving(listener: LeavingListener): void {
        this.listener = listener;
    }

    private insert(key: number, origin: LeavingOrigin): void {
        if (this.keys.has(key)) {
            return;
        }
        this.keys.set(key, true);
        this.fresh.add(key);
        this.listener(key, origin);
        this.newsListener();
    }
}
