/**
 * Keeps the requests of all instances within the limits that backend servers name, and those of this instance away
 * from a server that has asked it for a pause.
 *
 * A server in need names the requests per second that it takes from all instances together. An equal share for
 * each instance would be too small to be of use, and the first request of each would already exceed the limit
 * of a large fleet. So a few instances, selected by rendezvous hashing, hold the whole limit of a server, and
 * the others send it nothing. Instances tell each other at once when a limit begins, changes or ends; the
 * holders' requests show its end soon.
 *
 * A pause binds only the instance that was told: a server that is full for a moment is asked by the others as
 * before, and uses the slots that become free.
 *
 * @packageDocumentation
 */

import { type Clock, type EventLog, type RandomSource, shuffled } from "@magnolialock/kernel";
import { LRUCache } from "lru-cache";
import type { ResponseHead } from "../types/call.ts";
import type { LimitNotice, PeerNews } from "../types/peerNews.ts";
import {
    noticeUnreadable,
    serverLimitEnded,
    serverLimitNamed,
    serverLimitUnreadable,
    serverRests,
} from "./directEvents.ts";
import { readServerLimit } from "./serverLimitHeader.ts";
import { readRest, RETRY_AFTER_HEADER } from "./serverNotices.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Options of {@link ServerLimits}. */
export interface ServerLimitsOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Name of the header, in lower case. */
    readonly header: string;
    /**
     * Returns this instance's part of a number of units that all instances share.
     *
     * @param key - what is shared
     * @param total - number of units
     */
    readonly unitsOf: (key: string, total: number) => number;
}

interface LimitState {
    /** Requests per second; undefined after the limit has ended. */
    readonly perS: number | undefined;
    /** Time of the latest answer that showed this, in milliseconds. */
    readonly shownMs: number;
    /** Requests that this instance may send now. */
    tokens: number;
    /** Time up to which tokens have accrued, in milliseconds. */
    accruedMs: number;
}

/**
 * Parts into which a limit is divided; each is the right to one request at a time. A limit allows a few requests
 * beyond its rate, and this many may arrive at once.
 */
const PARTS = 4;
/**
 * Smallest limit that is applied, in requests per second: with none at all nobody would learn when the limit
 * ends.
 */
const MIN_LIMIT_PER_S = 0.1;
/**
 * Time for which answers may overtake each other on the way to two instances, in milliseconds: an answer without
 * a limit that is hardly newer than one with a limit does not end it.
 */
const REORDERING_MS = 250;
/** Time after the latest answer with a limit when another one is due, in milliseconds. */
const CHECK_AFTER_MS = 1_000;
/** Change of a limit, as a share, that other instances are not told. */
const MINOR_CHANGE_SHARE = 0.05;
/** Maximum number of servers whose limits are remembered. */
const MAX_SERVERS = 4_096;
/** Time between two log lines about unreadable limits, in milliseconds. */
const UNREADABLE_LOG_PERIOD_MS = 10_000;
/** Callers honour `Retry-After` only up to this share of their remaining time. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Range of the random addition to a pause that callers are told, in milliseconds: they return one by one. */
const REST_JITTER_MS = 500;
/** Notices in a sample. */
const SAMPLE_SIZE = 5;
const MS_PER_SECOND = 1_000;

/** Limits of the backend servers, as far as this instance knows. */
export class ServerLimits {
    private readonly options: ServerLimitsOptions;
    private readonly states = new LRUCache<number, LimitState>({ max: MAX_SERVERS });
    /** Ends of the pauses that servers have asked for, in milliseconds, by key of the process. */
    private readonly restsUntilMs = new LRUCache<number, number>({ max: MAX_SERVERS });
    private readonly fresh = new Set<number>();
    private nextUnreadableLogMs = Number.NEGATIVE_INFINITY;
    private listener: () => void = () => {};

    /** @param options - clock, log and name of the header */
    public constructor(options: ServerLimitsOptions) {
        this.options = options;
    }

    /** Number of servers that name a limit. */
    public get size(): number {
        return [...this.states.values()].filter(({ perS }) => perS !== undefined).length;
    }

    /**
     * Returns the limit of a server.
     *
     * @param server - the server
     * @returns requests per second of all instances; undefined if it names none
     */
    public limitOf(server: TrackedServer): number | undefined {
        return this.states.peek(server.reportKey)?.perS;
    }

    /** Number of servers that have asked this instance for a pause. */
    public get restingCount(): number {
        const nowMs = this.options.clock.nowMs();
        return [...this.restsUntilMs.values()].filter(untilMs => untilMs > nowMs).length;
    }

    /**
     * Records what a response says about the limit of its server, and about a pause that it asks for.
     *
     * @param server - the server
     * @param head - head of a response that the server itself has made
     */
    public record(server: TrackedServer, head: ResponseHead): void {
        this.recordRest(server, head);
        this.recordLimit(server, head);
    }

    private recordRest({ entry, processKey }: TrackedServer, head: ResponseHead): void {
        const { clock, events } = this.options;
        const notice = readRest(head);
        if (notice.kind === "unreadable") {
            this.logUnreadable(() => {
                events.emit(noticeUnreadable, {
                    server: entry.id,
                    header: RETRY_AFTER_HEADER,
                    text: notice.text,
                });
            });
        }
        if (notice.kind !== "rest") {
            return;
        }
        const knownUntilMs = this.restsUntilMs.get(processKey) ?? Number.NEGATIVE_INFINITY;
        const untilMs = clock.nowMs() + notice.forMs;
        // Answers may overtake each other: a shorter pause does not end a longer one.
        if (untilMs > knownUntilMs) {
            this.restsUntilMs.set(processKey, untilMs);
            events.emit(serverRests, { server: entry.id, forMs: Math.round(notice.forMs) });
        }
    }

    private logUnreadable(log: () => void): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs >= this.nextUnreadableLogMs) {
            this.nextUnreadableLogMs = nowMs + UNREADABLE_LOG_PERIOD_MS;
            log();
        }
    }

    private recordLimit(server: TrackedServer, head: ResponseHead): void {
        const { clock, events, header } = this.options;
        const named = readServerLimit(head, header);
        if (named.kind === "unreadable") {
            this.logUnreadable(() => {
                events.emit(serverLimitUnreadable, { server: server.entry.id, text: named.text });
            });
            return;
        }
        const perS = named.kind === "limit" ? Math.max(MIN_LIMIT_PER_S, named.perS) : undefined;
        if (perS === undefined && this.limitOf(server) === undefined) {
            return;
        }
        this.apply(server.reportKey, perS, clock.nowMs(), server.entry.id);
    }

    /**
     * Tells whether this instance may send a request to a server now.
     *
     * @param server - the server
     */
    public allows(server: TrackedServer): boolean {
        return this.waitMs(server) === 0;
    }

    /**
     * Tells whether no answer has shown for a while that the limit of a server still holds. The next request that the
     * limit lets through should go there then, or a sound server stays idle.
     *
     * @param server - the server
     */
    public isCheckDue(server: TrackedServer): boolean {
        const state = this.states.peek(server.reportKey);
        return state?.perS !== undefined && this.options.clock.nowMs() - state.shownMs >= CHECK_AFTER_MS;
    }

    /**
     * Counts a request that is sent to a server.
     *
     * @param server - the server
     */
    public recordStart(server: TrackedServer): void {
        const state = this.states.get(server.reportKey);
        if (state?.perS !== undefined) {
            this.accrue(server, state);
            state.tokens--;
        }
    }

    /**
     * Returns the time until this instance may send a request to a server.
     *
     * @param server - the server
     * @returns time in milliseconds; infinite if other instances hold the limit
     */
    public waitMs(server: TrackedServer): number {
        return Math.max(this.restMs(server), this.limitWaitMs(server));
    }

    /**
     * Returns the time until the first of some servers takes requests of this instance again.
     *
     * @param servers - the servers
     * @returns time in milliseconds; 0 if there are none, or if one of them has not asked for a pause
     */
    public pauseMs(servers: readonly TrackedServer[]): number {
        return servers.length === 0 ? 0 : Math.min(...servers.map(server => this.restMs(server)));
    }

    /**
     * Computes when a caller that was refused because of the limits or pauses should retry; another instance may take
     * it then.
     *
     * @param servers - servers that might have taken the request
     * @param remainingMs - remaining time of the caller, in milliseconds
     * @returns the delay with jitter, in milliseconds; undefined if none of them names a limit or asks for a pause
     */
    public retryAfterMs(servers: readonly TrackedServer[], remainingMs: number): number | undefined {
        const delays = [this.limitDelayMs(servers), this.restDelayMs(servers)]
            .filter(delayMs => delayMs !== undefined);
        return delays.length === 0
            ? undefined
            : Math.min(...delays, remainingMs * MAX_RETRY_AFTER_SHARE);
    }

    private restDelayMs(servers: readonly TrackedServer[]): number | undefined {
        const rests = servers.map(server => this.restMs(server)).filter(restMs => restMs > 0);
        return rests.length === 0
            ? undefined
            : Math.min(...rests) + this.options.random.nextFloat() * REST_JITTER_MS;
    }

    private limitDelayMs(servers: readonly TrackedServer[]): number | undefined {
        const limited = servers.filter(server =>
            this.limitOf(server) !== undefined && this.restMs(server) === 0
        );
        if (limited.length === 0) {
            return undefined;
        }
        const sumPerS = limited.reduce((sum, server) => sum + (this.limitOf(server) ?? 0), 0);
        const fleetWaitMs = MS_PER_SECOND / sumPerS;
        const ownWaitMs = Math.min(...limited.map(server => this.limitWaitMs(server)));
        const waitMs = Number.isFinite(ownWaitMs) ? Math.max(ownWaitMs, fleetWaitMs) : fleetWaitMs;
        return waitMs * (1 + this.options.random.nextFloat());
    }

    private restMs({ processKey }: TrackedServer): number {
        const untilMs = this.restsUntilMs.get(processKey);
        return untilMs === undefined ? 0 : Math.max(0, untilMs - this.options.clock.nowMs());
    }

    private limitWaitMs(server: TrackedServer): number {
        const state = this.states.get(server.reportKey);
        if (state?.perS === undefined) {
            return 0;
        }
        const rate = this.accrue(server, state);
        if (state.tokens >= 1) {
            return 0;
        }
        return rate === 0 ? Number.POSITIVE_INFINITY : (1 - state.tokens) / rate * MS_PER_SECOND;
    }

    /** {@inheritDoc NewsSource.takeFresh} */
    public takeFresh(): PeerNews["limits"] {
        const notices = this.noticesOf([...this.fresh]);
        this.fresh.clear();
        return notices;
    }

    /** {@inheritDoc NewsSource.allNews} */
    public allNews(): PeerNews["limits"] {
        return this.noticesOf([...this.states.keys()]);
    }

    /** {@inheritDoc NewsSource.sampleNews} */
    public sampleNews(): PeerNews["limits"] {
        return this.noticesOf(shuffled(this.options.random, [...this.states.keys()]).slice(0, SAMPLE_SIZE));
    }

    /**
     * Applies what another instance knows.
     *
     * @param notices - limits by key of the server
     */
    public applyNews(notices: PeerNews["limits"]): void {
        const nowMs = this.options.clock.nowMs();
        for (const [key, { ageMs, perS }] of notices) {
            this.apply(key, perS, nowMs - ageMs, undefined);
        }
    }

    /** {@inheritDoc NewsSource.onFreshNews} */
    public onFreshNews(listener: () => void): void {
        this.listener = listener;
    }

    private apply(
        key: number,
        perS: number | undefined,
        shownMs: number,
        ownServer: string | undefined,
    ): void {
        const known = this.states.peek(key);
        const isEnd = known?.perS !== undefined && perS === undefined;
        if (known && shownMs <= known.shownMs + (isEnd ? REORDERING_MS : 0)) {
            return;
        }
        // Holders that begin at different points do not send their requests all at the same time.
        const start = { accruedMs: shownMs, tokens: this.options.random.nextFloat() };
        const { accruedMs, tokens } = known?.perS === undefined ? start : known;
        this.states.set(key, { perS, shownMs, tokens, accruedMs: Math.max(accruedMs, shownMs) });
        const reference = known?.perS ?? 0;
        const isMinor = perS !== undefined && Math.abs(perS - reference) <= MINOR_CHANGE_SHARE * reference;
        if (known?.perS === perS || isMinor) {
            return;
        }
        this.logChange(key, perS, ownServer);
        this.fresh.add(key);
        this.listener();
    }

    private logChange(key: number, perS: number | undefined, ownServer: string | undefined): void {
        const { events } = this.options;
        const details = { serverKey: key.toString(16), server: ownServer, limitPerS: perS };
        events.emit(perS === undefined ? serverLimitEnded : serverLimitNamed, {
            ...details,
            origin: ownServer === undefined ? "peer" : "answer",
        });
    }

    /** Adds the tokens that have accrued, and returns this instance's requests per second. */
    private accrue({ entry, reportKey }: TrackedServer, state: LimitState): number {
        const nowMs = this.options.clock.nowMs();
        const parts = this.options.unitsOf(`limit of ${entry.id}`, PARTS);
        const rate = (state.perS ?? 0) * parts / PARTS;
        const accrued = rate * (nowMs - state.accruedMs) / MS_PER_SECOND;
        state.tokens = Math.min(parts, state.tokens + accrued);
        state.accruedMs = nowMs;
        this.states.set(reportKey, state);
        return rate;
    }

    private noticesOf(keys: readonly number[]): ReadonlyMap<number, LimitNotice> {
        const nowMs = this.options.clock.nowMs();
        return new Map(keys.flatMap(key => {
            const state = this.states.peek(key);
            return state ? [[key, { perS: state.perS, ageMs: nowMs - state.shownMs }]] : [];
        }));
    }
}
