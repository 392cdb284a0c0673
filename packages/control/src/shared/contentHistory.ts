/**
 * Deltas between recent contents in force, for peers that are a few revisions behind.
 *
 * @packageDocumentation
 */

import type { AcceptedConfiguration, ConfigurationStore } from "./configurationStore.ts";
import { type DeltaSteps, diffContent, estimateDeltaBytes } from "./contentDelta.ts";

interface DeltaLink {
    readonly fromHash: string;
    readonly toHash: string;
    readonly steps: DeltaSteps;
}

/** Maximum number of deltas that are kept. */
const MAX_LINKS = 16;
/** Maximum estimated size of all kept deltas together, in bytes. */
const MAX_TOTAL_DELTA_BYTES = 262_144;

/** Subscribes to the store and keeps the delta from each content to the next. */
export class ContentHistory implements Disposable {
    private links: DeltaLink[] = [];
    private lastConfiguration: AcceptedConfiguration | undefined;
    private receivedDelta: DeltaLink | undefined;
    private readonly subscription: Disposable;

    /** @param store - configuration in force */
    public constructor(store: ConfigurationStore) {
        this.subscription = store.onChange(configuration => this.recordChange(configuration));
    }

    /**
     * Caches a delta that a peer has sent, so that it need not be computed again when its content is
     * accepted.
     *
     * @param fromHash - hash of the base content
     * @param toHash - hash of the resulting content
     * @param steps - the delta
     */
    public cacheReceivedDelta(fromHash: string, toHash: string, steps: DeltaSteps): void {
        this.receivedDelta = { fromHash, toHash, steps };
    }

    /**
     * Returns the deltas from a content to the current one.
     *
     * @param fromHash - hash of the content that the peer has
     * @returns the deltas in order; undefined if the peer needs the full content
     */
    public deltasFrom(fromHash: string): readonly DeltaSteps[] | undefined {
        const start = this.links.findIndex(link => link.fromHash === fromHash);
        return start < 0 ? undefined : this.links.slice(start).map(link => link.steps);
    }

    /** Unsubscribes from the store. */
    public [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
    }

    private recordChange(configuration: AcceptedConfiguration): void {
        const previous = this.lastConfiguration;
        this.lastConfiguration = configuration;
        if (!previous || previous.contentHash === configuration.contentHash) {
            return;
        }
        const { receivedDelta } = this;
        const isReceived = receivedDelta?.fromHash === previous.contentHash
            && receivedDelta.toHash === configuration.contentHash;
        this.links.push({
            fromHash: previous.contentHash,
            toHash: configuration.contentHash,
            steps: isReceived ? receivedDelta.steps : diffContent(previous.bytes, configuration.bytes),
        });
        this.dropOldestLinks();
    }

    private dropOldestLinks(): void {
        let bytes = 0;
        let kept = 0;
        while (kept < Math.min(this.links.length, MAX_LINKS)) {
            bytes += estimateDeltaBytes(this.links[this.links.length - 1 - kept]?.steps ?? []);
            if (bytes > MAX_TOTAL_DELTA_BYTES) {
                break;
            }
            kept++;
        }
        this.links = kept === 0 ? [] : this.links.slice(-kept);
    }
}
