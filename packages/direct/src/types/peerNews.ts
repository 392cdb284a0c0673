/**
 * News that instances tell each other at once, beside their regular reports. Times are ages, so that the
 * clocks of instances need not agree.
 *
 * @packageDocumentation
 */

/** Evidence that a request may have crashed its backend server. */
export interface CrashNotice {
    /** Key of the attempt that ended with the server. */
    readonly id: number;
    /** Key of the server's process. */
    readonly server: number;
    /** Time since the crash, in milliseconds. */
    readonly ageMs: number;
    /** Time from the send of the request to the crash, in milliseconds. */
    readonly sentBeforeMs: number;
    /**
     * Time from the last answer that the group of the server had begun to the crash, in milliseconds; infinite
     * if there was none.
     */
    readonly servedBeforeMs: number;
    /** Shared parts of the prompt that are not known to be sound, and the identity of the request. */
    readonly suspects: readonly string[];
}

/** Evidence about parts of prompts and whole requests. */
export interface CrashNews {
    /** Evidence about crashes. */
    readonly crashes: readonly CrashNotice[];
    /** Time since an answer was under way on a suspect that a crash notice names, in milliseconds, by suspect. */
    readonly soundSuspects: ReadonlyMap<string, number>;
}

/** Limit that a backend server names in its answers. */
export interface LimitNotice {
    /** Requests per second from all instances; undefined once the server names none any more. */
    readonly perS: number | undefined;
    /** Time since the latest answer that showed this, in milliseconds. */
    readonly ageMs: number;
}

/** News between instances. */
export interface PeerNews extends CrashNews {
    /** Limits of backend servers, by their key in reports. */
    readonly limits: ReadonlyMap<number, LimitNotice>;
    /** Processes of backend servers that have said that they leave, by key. */
    readonly leaving: readonly number[];
}

/** Gives and takes news. */
export interface NewsSource {
    /** Takes the news that were not told to other instances yet; undefined if there are none. */
    takeFresh(): PeerNews | undefined;
    /** Returns all that is known, for an instance that has just started. */
    allNews(): PeerNews;
    /** Returns a small random sample of what is known; it repairs the loss of datagrams. */
    sampleNews(): PeerNews;
    /**
     * Applies news of another instance.
     *
     * @param news - the news
     */
    applyNews(news: PeerNews): void;
    /**
     * Registers a listener that is called when there are fresh news.
     *
     * @param listener - the listener
     */
    onFreshNews(listener: () => void): void;
}
