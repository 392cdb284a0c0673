/**
 * Task that watches a local rule file, for sites without a platform.
 *
 * @packageDocumentation
 */

import { branded, contentHash, errorMessage, type Revision, type Runtime, sleep } from "@magnolialock/kernel";
import { readFile, stat } from "node:fs/promises";
import type { ConfigurationStore } from "../shared/configurationStore.ts";
import { platformUnreachable } from "../shared/controlEvents.ts";

/** Options of {@link watchRulesFile}. */
export interface WatchRulesFileOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Path of the rule file. */
    readonly path: string;
    /** Store that receives the revisions. */
    readonly store: ConfigurationStore;
    /** Stops the task. */
    readonly signal: AbortSignal;
}

const POLL_INTERVAL_MS = 500;

/**
 * Polls the file until the signal aborts. The revision is the file's modification time in milliseconds, or
 * one above the last revision if that is higher.
 *
 * @param options - path, store and signal
 */
export const watchRulesFile = async (options: WatchRulesFileOptions): Promise<void> => {
    const { runtime, path, store, signal } = options;
    let lastHash = "";
    let lastRevision = 0;
    while (!signal.aborted) {
        try {
            const askedAtMs = runtime.clock.nowMs();
            const bytes = await readFile(path);
            const hash = contentHash(bytes);
            if (hash !== lastHash) {
                const { mtimeMs } = await stat(path);
                lastHash = hash;
                lastRevision = Math.max(Math.floor(mtimeMs), lastRevision + 1);
                store.offer(branded<Revision>(lastRevision), bytes, "file");
            }
            store.confirm(askedAtMs);
        }
        catch (error) {
            runtime.events.emit(platformUnreachable, { what: path, error: errorMessage(error) });
        }
        await sleep(runtime.clock, POLL_INTERVAL_MS, signal).catch(() => {});
    }
};
