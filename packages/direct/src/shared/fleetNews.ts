/**
 * All news that an instance exchanges with the others: evidence about prompts, limits of servers, and
 * servers that leave.
 *
 * @packageDocumentation
 */

import type { NewsSource, PeerNews } from "../types/peerNews.ts";
import type { CrashQuarantine } from "./crashQuarantine.ts";
import type { LeavingServers } from "./leavingServers.ts";
import type { ServerLimits } from "./serverLimits.ts";

/** Combines the sources of news. */
export class FleetNews implements NewsSource {
    /**
     * @param quarantine - evidence about prompts
     * @param limits - limits of servers
     * @param leaving - servers that leave
     */
    public constructor(
        private readonly quarantine: CrashQuarantine,
        private readonly limits: ServerLimits,
        private readonly leaving: LeavingServers,
    ) {}

    /** {@inheritDoc NewsSource.takeFresh} */
    public takeFresh(): PeerNews | undefined {
        const news = {
            ...this.quarantine.takeFresh(),
            limits: this.limits.takeFresh(),
            leaving: this.leaving.takeFresh(),
        };
        const size = news.crashes.length + news.soundSuspects.size + news.limits.size + news.leaving.length;
        return size > 0 ? news : undefined;
    }

    /** {@inheritDoc NewsSource.allNews} */
    public allNews(): PeerNews {
        return {
            ...this.quarantine.allNews(),
            limits: this.limits.allNews(),
            leaving: this.leaving.all(),
        };
    }

    /** {@inheritDoc NewsSource.sampleNews} */
    public sampleNews(): PeerNews {
        return {
            ...this.quarantine.sampleNews(),
            limits: this.limits.sampleNews(),
            leaving: this.leaving.sampleNews(),
        };
    }

    /** {@inheritDoc NewsSource.applyNews} */
    public applyNews(news: PeerNews): void {
        this.quarantine.applyNews(news);
        this.limits.applyNews(news.limits);
        this.leaving.merge(news.leaving);
    }

    /** {@inheritDoc NewsSource.onFreshNews} */
    public onFreshNews(listener: () => void): void {
        this.quarantine.onFreshNews(listener);
        this.limits.onFreshNews(listener);
        this.leaving.onFreshNews(listener);
    }
}
