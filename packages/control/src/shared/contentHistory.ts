/**
 * Deltas between the contents that were in force lately, for peers that are a few revisions behind.
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

/** Deltas that are kept. */
const MAX_LINKS = 16;
/** Bytes of all kept deltas. */
const MAX_TOTAL_DELTA_BYTES = 262_144;

/** Follows the store and remembers how each content came from the one before. */
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
     * Announces a delta that a peer has sent, so that it need not be computed again.
     *
     * @param fromHash - content that it starts from
     * @param toHash - content that it makes
     * @param steps - the delta
     */
    public cacheReceivedDelta(fromHash: string, toHash: string, steps: DeltaSteps): void {
        this.receivedDelta = { fromHash, toHash, steps };
    }

    /**
     * Finds the deltas that lead to the present content.
     *
     * @param fromHash - content that the peer has
     * @returns the deltas in order; undefined when the peer needs the whole content
     */
    public deltasFrom(fromHash: string): readonly DeltaSteps[] | undefined {
        const start = this.links.findIndex(link => link.fromHash === fromHash);
        return start < 0 ? undefined : this.links.slice(start).map(link => link.steps);
    }

    /** Stops following. */
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
        this.trim();
    }

    private trim(): void {
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
