/**
 * Requests of one service that wait for a place at its model servers.
 *
 * It answers a burst: more requests than the servers work on at once. Servers would queue them in order of arrival, so
 * that soon every stream begins late. Here the newest request that can still be in time goes first. One that cannot be
 * in time any more gets a place only while some are to spare, since it would take it from the next request; few of
 * them wait for that, the others are refused at once.
 *
 * @packageDocumentation
 */

import { type Clock, type RandomSource, sleep } from "@magnolialock/kernel";

/** Options of a {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Most requests of this instance that may run at the servers together; read now and then. */
    readonly limit: () => number;
}

/** What decides whose turn it is. */
export interface QueuedCall {
    /** When the request came, in milliseconds. */
    readonly receivedMs: number;
    /** Time up to which a place still lets the answer be in time, in milliseconds. */
    readonly targetStartMs: number;
    /** Time from which a place is of no use, as the caller gives up before its first event, in milliseconds. */
    readonly latestStartMs: number;
    /** Time at which the answer must be complete, in milliseconds. */
    readonly endMs: number;
    /** Rank of the request; 0 is the most urgent. */
    readonly priority: number;
}

/** What became of a wait. */
export type AdmissionResult =
    /** The request has a place. */
    | "admitted"
    /** It would get no place in time. */
    | "refused"
    /** The servers' state has changed; the request has no place. */
    | "released";

interface Waiter {
    readonly call: QueuedCall;
    readonly settle: (result: AdmissionResult) => void;
}

/**
 * Time for which a limit holds, in milliseconds: that of a report from another data centre. Read more often, one
 * instance would take all free places before the others could report theirs.
 */
const LIMIT_REFRESH_MS = 400;
/**
 * Time after a shortage in which late requests get no place, in milliseconds. In a burst places are free for moments; a
 * shorter time gives these to late requests, a longer one leaves places empty after the burst.
 */
const SHORTAGE_HOLD_MS = 1_000;
/** Late requests that wait, for each place of this instance; more would wait in vain. */
const MAX_LATE_WAITERS_PER_SLOT = 0.15;
/** Time that a stream takes before one was seen, in milliseconds. */
const INITIAL_MEAN_RUN_MS = 1_000;
/** Weight of a new run in the mean; a larger one follows single long answers. */
const RUN_TIME_WEIGHT = 0.1;
/** A caller takes advice up to this share of the time that it has left. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/**
 * Chooses whose turn it is.
 *
 * @param calls - requests that wait
 * @param nowMs - time, in milliseconds
 * @returns the most urgent and then newest one that can be in time; if there is none, the one with the nearest end
 */
export const pickNext = <T extends { readonly call: QueuedCall; }>(
    calls: Iterable<T>,
    nowMs: number,
): T | undefined => {
    let best: T | undefined;
    for (const candidate of calls) {
        if (!best || hasPrecedence(candidate.call, best.call, nowMs)) {
            best = candidate;
        }
    }
    return best;
};

const hasPrecedence = (left: QueuedCall, right: QueuedCall, nowMs: number): boolean => {
    const isLeftOnTime = nowMs < left.targetStartMs;
    if (isLeftOnTime !== nowMs < right.targetStartMs) {
        return isLeftOnTime;
    }
    if (!isLeftOnTime) {
        return left.latestStartMs < right.latestStartMs;
    }
    return left.priority === right.priority
        ? left.receivedMs > right.receivedMs
        : left.priority < right.priority;
};

/** Gives places to the requests of one service. */
export class AdmissionQueue {
    private readonly options: AdmissionQueueOptions;
    private readonly waiters = new Set<Waiter>();
    private runningCalls = 0;
    private meanRunMs = INITIAL_MEAN_RUN_MS;
    private currentLimit = 0;
    private limitReadMs = Number.NEGATIVE_INFINITY;
    private lastShortageMs = Number.NEGATIVE_INFINITY;

    /** @param options - clock and limit */
    public constructor(options: AdmissionQueueOptions) {
        this.options = options;
    }

    /** Requests that wait. */
    public get waiting(): number {
        return this.waiters.size;
    }

    /** Requests that have a place. */
    public get running(): number {
        return this.runningCalls;
    }

    /**
     * Waits for a place.
     *
     * @param call - the request
     * @param signal - ends the wait; the request then counts as refused
     * @returns what became of the wait; {@link AdmissionQueue.release} must follow if the request was admitted
     */
    public async acquire(call: QueuedCall, signal: AbortSignal): Promise<AdmissionResult> {
        if (signal.aborted) {
            return "refused";
        }
        const { clock } = this.options;
        const ending = new AbortController();
        const result = await new Promise<AdmissionResult>(resolve => {
            const waiter: Waiter = {
                call,
                settle: outcome => {
                    this.waiters.delete(waiter);
                    resolve(outcome);
                },
            };
            this.waiters.add(waiter);
            signal.addEventListener("abort", () => waiter.settle("refused"), { signal: ending.signal });
            this.dispatch();
            if (this.waiters.has(waiter) && clock.nowMs() < call.targetStartMs) {
                this.lastShortageMs = clock.nowMs();
                void this.dispatchAfterShortage();
            }
            void this.refuseOnceLate(waiter, ending.signal);
        });
        ending.abort();
        return result;
    }

    /** Takes a place at once, for a stream under way: its caller has a part of the answer. */
    public acquireAtOnce(): void {
        this.runningCalls++;
    }

    /**
     * Gives a place back.
     *
     * @param runMs - time for which it was taken, in milliseconds; undefined when the request was not served
     */
    public release(runMs: number | undefined): void {
        this.runningCalls--;
        if (runMs !== undefined) {
            this.meanRunMs += RUN_TIME_WEIGHT * (runMs - this.meanRunMs);
        }
        this.dispatch();
    }

    /** Ends all waits: the servers cannot run requests at the moment. */
    public cancelWaiters(): void {
        for (const waiter of [...this.waiters]) {
            waiter.settle("released");
        }
    }

    /**
     * Says when a refused caller should come back: as late as its time allows, since the burst may be over then.
     *
     * @param remainingMs - time that the caller still has, in milliseconds
     * @returns the delay, in milliseconds; spread, and at most a third of what the caller has left
     */
    public retryAfterMs(remainingMs: number): number {
        return remainingMs * MAX_RETRY_AFTER_SHARE * (1 + this.options.random.nextFloat()) / 2;
    }

    private limit(): number {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.limitReadMs >= LIMIT_REFRESH_MS) {
            this.limitReadMs = nowMs;
            this.currentLimit = this.options.limit();
        }
        return this.currentLimit;
    }

    private dispatch(): void {
        const nowMs = this.options.clock.nowMs();
        while (this.waiters.size > 0 && this.runningCalls < this.limit()) {
            const next = pickNext(this.waiters, nowMs);
            const isLate = next !== undefined && nowMs >= next.call.targetStartMs;
            if (!next || isLate && nowMs - this.lastShortageMs < SHORTAGE_HOLD_MS) {
                return;
            }
            if (nowMs > this.latestStartMs(next.call)) {
                next.settle("refused");
                continue;
            }
            this.runningCalls++;
            next.settle("admitted");
        }
    }

    /** Without it a late request would wait for the end of another one although places are free. */
    private async dispatchAfterShortage(): Promise<void> {
        await sleep(this.options.clock, SHORTAGE_HOLD_MS);
        this.dispatch();
    }

    /** Refuses a request that cannot be in time any more, at once if others wait already for places to spare. */
    private async refuseOnceLate(waiter: Waiter, signal: AbortSignal): Promise<void> {
        const { clock } = this.options;
        const { call } = waiter;
        await sleep(clock, Math.max(0, call.targetStartMs - clock.nowMs()), signal).catch(() => {});
        if (signal.aborted) {
            return;
        }
        const lateWaiters = [...this.waiters].filter(other => other.call.targetStartMs <= clock.nowMs());
        if (lateWaiters.length <= Math.max(1, this.limit() * MAX_LATE_WAITERS_PER_SLOT)) {
            await sleep(clock, this.latestStartMs(call) - clock.nowMs(), signal).catch(() => {});
        }
        waiter.settle("refused");
    }

    private latestStartMs({ endMs, latestStartMs }: QueuedCall): number {
        return Math.min(latestStartMs, endMs - this.meanRunMs);
    }
}
