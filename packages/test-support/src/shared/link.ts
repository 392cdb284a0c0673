/**
 * Links of the in-process network: delay, loss and cuts between endpoints.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";

/** One side of a link. */
export interface EndpointInfo {
    /** Name of the process. */
    readonly name: string;
    /** Data centre of the process. */
    readonly dataCentre: string;
}

/** How a link treats what crosses it. */
export interface LinkQuality {
    /** One-way delay in milliseconds. */
    readonly delayMs: number;
    /** Largest extra delay, drawn for each message, in milliseconds. */
    readonly jitterMs: number;
    /** Probability that a datagram is lost. */
    readonly lossProbability: number;
    /** Probability that a datagram arrives twice. */
    readonly duplicateProbability: number;
}

/** Options of {@link LinkTable}. */
export interface LinkTableOptions {
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Quality between processes of one data centre. */
    readonly local?: Partial<LinkQuality>;
    /** Quality between data centres. */
    readonly remote?: Partial<LinkQuality>;
}

const CLEAN_LINK = { lossProbability: 0, duplicateProbability: 0 };
const LOCAL_LINK: LinkQuality = { ...CLEAN_LINK, delayMs: 0.2, jitterMs: 0.1 };
const REMOTE_LINK: LinkQuality = { ...CLEAN_LINK, delayMs: 1, jitterMs: 0.5 };

/** Selects endpoints, for example all of a data centre. */
export type EndpointSelector = (endpoint: EndpointInfo) => boolean;

interface Cut {
    readonly from: EndpointSelector;
    readonly to: EndpointSelector;
}

/** Quality of all links and the cuts that are in force. */
export class LinkTable {
    private readonly random: RandomSource;
    private readonly cuts = new Set<Cut>();
    private local: LinkQuality;
    private remote: LinkQuality;

    /** @param options - random numbers and qualities */
    public constructor(options: LinkTableOptions) {
        this.random = options.random;
        this.local = { ...LOCAL_LINK, ...options.local };
        this.remote = { ...REMOTE_LINK, ...options.remote };
    }

    /**
     * Changes the quality of links.
     *
     * @param changes - new values for links inside and between data centres
     */
    public setQuality(
        changes: { readonly local?: Partial<LinkQuality>; readonly remote?: Partial<LinkQuality>; },
    ): void {
        this.local = { ...this.local, ...changes.local };
        this.remote = { ...this.remote, ...changes.remote };
    }

    /**
     * Cuts links in one direction.
     *
     * @param from - senders
     * @param to - receivers
     * @returns a function that heals the cut
     */
    public cutOneWay(from: EndpointSelector, to: EndpointSelector): () => void {
        const cut: Cut = { from, to };
        this.cuts.add(cut);
        return () => this.cuts.delete(cut);
    }

    /**
     * Cuts links in both directions.
     *
     * @param left - one side
     * @param right - the other side
     * @returns a function that heals the cut
     */
    public cut(left: EndpointSelector, right: EndpointSelector): () => void {
        const healForth = this.cutOneWay(left, right);
        const healBack = this.cutOneWay(right, left);
        return () => {
            healForth();
            healBack();
        };
    }

    /**
     * Tells whether messages can cross.
     *
     * @param from - sender
     * @param to - receiver
     * @returns true when a cut lies between them
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
     * Draws the delay of one message.
     *
     * @param from - sender
     * @param to - receiver
     * @returns delay in milliseconds
     */
    public drawDelayMs(from: EndpointInfo, to: EndpointInfo): number {
        const quality = this.qualityOf(from, to);
        return quality.delayMs + quality.jitterMs * this.random.nextFloat();
    }

    /**
     * Draws how many copies of a datagram arrive.
     *
     * @param from - sender
     * @param to - receiver
     * @returns 0, 1 or 2
     */
    public drawCopies(from: EndpointInfo, to: EndpointInfo): number {
        const quality = this.qualityOf(from, to);
        if (this.isCut(from, to) || this.random.nextFloat() < quality.lossProbability) {
            return 0;
        }
        return this.random.nextFloat() < quality.duplicateProbability ? 2 : 1;
    }

    private qualityOf(from: EndpointInfo, to: EndpointInfo): LinkQuality {
        return from.dataCentre === to.dataCentre ? this.local : this.remote;
    }
}
