/**
 * Spreads news through the fleet within moments: an instance tells fresh news to a few others at random, and
 * each that had not heard them does the same (epidemic broadcast). Regular reports would take seconds in a
 * large fleet; they only repair what the datagrams of this broadcast lose.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, type RandomSource, shuffled, sleep } from "@magnolialock/kernel";
import type { NewsSource, PeerNews } from "../types/peerNews.ts";

/** Options of a {@link NewsSpreader}. */
export interface NewsSpreaderOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Source of the news. */
    readonly news: NewsSource;
    /** Returns the addresses of the other instances. */
    readonly peers: () => readonly Address[];
    /**
     * Sends news to one instance, in as many datagrams as they need.
     *
     * @param to - address of the instance
     * @param news - the news
     * @returns bytes sent
     */
    readonly send: (to: Address, news: PeerNews) => number;
}

/** Instances that are told fresh news: with eight, one in 3,000 does not hear them and waits for a report. */
const FANOUT = 8;
/** Time for which the first news are collected before they are sent, in milliseconds. */
const BATCH_MS = 10;
/** Time between two rounds while there are fresh news, in milliseconds. */
const ROUND_MS = 50;
/** Bytes per second that one instance may send as news; its reports wait for them. */
const NEWS_BYTES_PER_S = 4_000;
/** Bytes of news that may be sent at once: when many servers of a large fleet name limits at the same time. */
const BURST_BYTES = 12_000;
const MS_PER_SECOND = 1_000;

/** Spreads the news of one instance. */
export class NewsSpreader implements Disposable {
    private readonly options: NewsSpreaderOptions;
    private readonly stopping = new AbortController();
    private isSpreading = false;
    private balanceBytes = BURST_BYTES;
    private lastRefillMs: number;

    /** @param options - clock, source and receivers */
    public constructor(options: NewsSpreaderOptions) {
        this.options = options;
        this.lastRefillMs = options.clock.nowMs();
        options.news.onFreshNews(() => void this.spread());
    }

    /**
     * Tells all news to an instance that has just started. Each instance does so with a small chance, so that a few
     * do.
     *
     * @param to - address of the instance
     */
    public greet(to: Address): void {
        const { news, peers, random, send } = this.options;
        if (random.nextFloat() < FANOUT / Math.max(1, peers().length)) {
            send(to, news.allNews());
        }
    }

    /** Stops spreading. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
    }

    private async spread(): Promise<void> {
        const { clock, news, peers, random, send } = this.options;
        const { signal } = this.stopping;
        if (this.isSpreading) {
            return;
        }
        this.isSpreading = true;
        await sleep(clock, BATCH_MS, signal).catch(() => {});
        for (let fresh = news.takeFresh(); fresh && !signal.aborted; fresh = news.takeFresh()) {
            for (const peer of shuffled(random, peers()).slice(0, FANOUT)) {
                this.balanceBytes -= send(peer, fresh);
            }
            await sleep(clock, ROUND_MS + this.overdraftMs(), signal).catch(() => {});
        }
        this.isSpreading = false;
    }

    /** Time until the bytes that were sent beyond the budget have accrued, in milliseconds. */
    private overdraftMs(): number {
        const nowMs = this.options.clock.nowMs();
        const accruedBytes = (nowMs - this.lastRefillMs) / MS_PER_SECOND * NEWS_BYTES_PER_S;
        this.balanceBytes = Math.min(BURST_BYTES, this.balanceBytes + accruedBytes);
        this.lastRefillMs = nowMs;
        return Math.max(0, -this.balanceBytes) / NEWS_BYTES_PER_S * MS_PER_SECOND;
    }
}
