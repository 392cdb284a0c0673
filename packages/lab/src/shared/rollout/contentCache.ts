/**
 * Parses shared by all simulated processes: the parser is a pure function of the bytes.
 *
 * @packageDocumentation
 */

import { ConfigurationStore } from "@magnolialock/control";
import type { EventLog } from "@magnolialock/kernel";
import { type ParsedRules, parseRules } from "@magnolialock/rules";
import { LRUCache } from "lru-cache";

const MAX_CONTENTS = 8;

/** Remembers contents and their rules by content hash. */
export class ContentCache {
    private readonly parses = new LRUCache<string, ParsedRules>({ max: MAX_CONTENTS });
    private readonly contents = new LRUCache<string, Uint8Array>({ max: MAX_CONTENTS });

    /**
     * Creates a store that shares parses and bytes.
     *
     * @param events - event log of the process
     * @returns the store
     */
    public createStore(events: EventLog): ConfigurationStore {
        return new ConfigurationStore({
            events,
            parse: (bytes, hash) => this.remember(this.parses, hash, () => parseRules(bytes)),
            retain: (bytes, hash) => this.remember(this.contents, hash, () => bytes),
        });
    }

    private remember<T extends object>(cache: LRUCache<string, T>, hash: string, make: () => T): T {
        const known = cache.get(hash) ?? make();
        cache.set(hash, known);
        return known;
    }
}
