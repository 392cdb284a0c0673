/**
 * All news that an instance exchanges with the others: evidence about prompts, and limits of servers.
 *
 * @packageDocumentation
 */

import type { NewsSource, PeerNews } from "../types/peerNews.ts";
import type { CrashQuarantine } from "./crashQuarantine.ts";
import type { ServerLimits } from "./serverLimits.ts";

/** Combines the sources of news. */
export class FleetNews implements NewsSource {
    /**
     * @param quarantine - evidence about prompts
     * @param limits - limits of servers
     */
    public constructor(
        private readonly quarantine: CrashQuarantine,
        private readonly limits: ServerLimits,
    ) {}

    /** {@inheritDoc NewsSource.takeFresh} */
    public takeFresh(): PeerNews | undefined {
        const news = { ...this.quarantine.takeFresh(), limits: this.limits.takeFresh() };
        const size = news.crashes.length + news.soundSuspects.size + news.limits.size;
        return size > 0 ? news : undefined;
    }

    /** {@inheritDoc NewsSource.allNews} */
    public allNews(): PeerNews {
        return { ...this.quarantine.allNews(), limits: this.limits.allNews() };
    }

    /** {@inheritDoc NewsSource.sampleNews} */
    public sampleNews(): PeerNews {
        return { ...this.quarantine.sampleNews(), limits: this.limits.sampleNews() };
    }

    /** {@inheritDoc NewsSource.applyNews} */
    public applyNews(news: PeerNews): void {
        this.quarantine.applyNews(news);
        this.limits.applyNews(news.limits);
    }

    /** {@inheritDoc NewsSource.onFreshNews} */
    public onFreshNews(listener: () => void): void {
        this.quarantine.onFreshNews(listener);
        this.limits.onFreshNews(listener);
    }
}
