/**
 * Links of the in-process network: delay, loss and cuts between endpoints.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";

/** Identity of a process on the network. */
export interface EndpointInfo {
    /** Name of the process. */
    readonly name: string;
    /** Data centre of the process. */
    readonly dataCentre: string;
}

/** Delay, loss and duplication on a link. */
export interface LinkQuality {
    /** One-way delay in milliseconds. */
    readonly delayMs: number;
    /** Upper bound of the random extra delay of each message, in milliseconds. */
    readonly jitterMs: number;
    /** Probability that a datagram is lost. */
    readonly lossProbability: number;
    /** Probability that a datagram is delivered twice. */
    readonly duplicateProbability: number;
}

/** Options of {@link LinkTable}. */
export interface LinkTableOptions {
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Overrides the default quality between processes of the same data centre. */
    readonly local?: Partial<LinkQuality>;
    /** Overrides the default quality between processes of different data centres. */
    readonly remote?: Partial<LinkQuality>;
}

const LOSSLESS = { lossProbability: 0, duplicateProbability: 0 };
const DEFAULT_LOCAL_QUALITY: LinkQuality = { ...LOSSLESS, delayMs: 0.2, jitterMs: 0.1 };
const DEFAULT_REMOTE_QUALITY: LinkQuality = { ...LOSSLESS, delayMs: 1, jitterMs: 0.5 };

/** Selects endpoints, for example all of a data centre. */
export type EndpointSelector = (endpoint: EndpointInfo) => boolean;

interface LinkCut {
    readonly from: EndpointSelector;
    readonly to: EndpointSelector;
}

/** Quality of all links, and the cuts in effect. */
export class LinkTable {
    private readonly random: RandomSource;
    private readonly cuts = new Set<LinkCut>();
    private localQuality: LinkQuality;
    private remoteQuality: LinkQuality;

    /** @param options - source of random numbers and link qualities */
    public constructor(options: LinkTableOptions) {
        this.random = options.random;
        this.localQuality = { ...DEFAULT_LOCAL_QUALITY, ...options.local };
        this.remoteQuality = { ...DEFAULT_REMOTE_QUALITY, ...options.remote };
    }

    /**
     * Changes the quality of links; values that are left out stay.
     *
     * @param changes - new values for links within and between data centres
     */
    public setQuality(
        changes: { readonly local?: Partial<LinkQuality>; readonly remote?: Partial<LinkQuality>; },
    ): void {
        this.localQuality = { ...this.localQuality, ...changes.local };
        this.remoteQuality = { ...this.remoteQuality, ...changes.remote };
    }

    /**
     * Cuts links in one direction.
     *
     * @param from - selects the senders
     * @param to - selects the receivers
     * @returns a function that removes the cut
     */
    public cutOneWay(from: EndpointSelector, to: EndpointSelector): () => void {
        const cut: LinkCut = { from, to };
        this.cuts.add(cut);
        return () => this.cuts.delete(cut);
    }

    /**
     * Cuts links in both directions.
     *
     * @param left - selects the endpoints on one side
     * @param right - selects the endpoints on the other side
     * @returns a function that removes the cut
     */
    public cut(left: EndpointSelector, right: EndpointSelector): () => void {
        const healForward = this.cutOneWay(left, right);
        const healReverse = this.cutOneWay(right, left);
        return () => {
            healForward();
            healReverse();
        };
    }

    /**
     * Tells whether a cut blocks messages from one endpoint to another.
     *
     * @param from - sender
     * @param to - receiver
     * @returns true when messages in this direction are blocked
     */
    public isCut(from: EndpointInfo, to: EndpointInfo): boolean {
        for (const cut of this.cuts) {
            if (cut.from(from) && cut.to(to)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Samples the delay of one message.
     *
     * @param from - sender
     * @param to - receiver
     * @returns one-way delay, in milliseconds
     */
    public sampleDelayMs(from: EndpointInfo, to: EndpointInfo): number {
        const quality = this.qualityOf(from, to);
        return quality.delayMs + quality.jitterMs * this.random.nextFloat();
    }

    /**
     * Samples how many copies of a datagram are delivered: none when it is lost or the link is cut.
     *
     * @param from - sender
     * @param to - receiver
     * @returns number of copies: 0, 1 or 2
     */
    public sampleCopyCount(from: EndpointInfo, to: EndpointInfo): number {
        const quality = this.qualityOf(from, to);
        if (this.isCut(from, to) || this.random.nextFloat() < quality.lossProbability) {
            return 0;
        }
        return this.random.nextFloat() < quality.duplicateProbability ? 2 : 1;
    }

    private qualityOf(from: EndpointInfo, to: EndpointInfo): LinkQuality {
        return from.dataCentre === to.dataCentre ? this.localQuality : this.remoteQuality;
    }
}
