/**
 * Cache of rule files and their parsed rules, shared by all simulated processes. Sharing is safe because the
 * parser is a pure function of the bytes.
 *
 * @packageDocumentation
 */

import { ConfigurationStore } from "@magnolialock/control";
import type { EventLog } from "@magnolialock/kernel";
import { type ParsedRules, parseRules } from "@magnolialock/rules";
import { LRUCache } from "lru-cache";

const MAX_CONTENTS = 8;

/** Caches rule files and their parsed rules by content hash. */
export class ContentCache {
    private readonly parsedRules = new LRUCache<string, ParsedRules>({ max: MAX_CONTENTS });
    private readonly contents = new LRUCache<string, Uint8Array>({ max: MAX_CONTENTS });

    /**
     * Creates a configuration store that uses this cache.
     *
     * @param events - event log of the process
     * @returns the store
     */
    public createStore(events: EventLog): ConfigurationStore {
        return new ConfigurationStore({
            events,
            parse: (bytes, hash) => this.getOrCreate(this.parsedRules, hash, () => parseRules(bytes)),
            retain: (bytes, hash) => this.getOrCreate(this.contents, hash, () => bytes),
        });
    }

    private getOrCreate<T extends object>(cache: LRUCache<string, T>, hash: string, create: () => T): T {
        const value = cache.get(hash) ?? create();
        cache.set(hash, value);
        return value;
    }
}
