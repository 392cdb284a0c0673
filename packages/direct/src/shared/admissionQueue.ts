/**
 * Admission queue for the requests of one service: they wait here for a free slot at its model servers.
 *
 * It handles bursts, when more requests arrive than the servers can process concurrently. The servers would
 * queue them in order of arrival, so that soon every stream starts late. This queue admits the newest request
 * that can still meet its latency target first. A request that can no longer meet it gets a slot only while
 * slots are to spare, since it would take the slot from the next request; a few late requests wait for that,
 * the others are refused at once. Where the routes of the service differ in priority, {@link UrgencyPolicy}
 * decides about the order and reserves slots for the more urgent requests.
 *
 * @packageDocumentation
 */

import { type ClientAccountId, type Clock, type RandomSource, sleep } from "@magnolialock/kernel";
import { type SlotUse, UrgencyPolicy } from "./admission/urgency.ts";

/** Options of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /**
     * Returns how many requests of this instance may run concurrently at all servers of the service; polled
     * at most once per {@link LIMIT_REFRESH_MS}.
     */
    readonly limit: () => number;
    /**
     * Returns whether the routes of the service differ in priority, so that slots are reserved for the more urgent
     * requests; polled as the limit is. False when absent.
     */
    readonly hasUrgency?: () => boolean;
}

/** Properties of a request that determine its position in the queue. */
export interface QueuedCall {
    /** Time at which the request was received, in milliseconds. */
    readonly receivedMs: number;
    /** Latest start at which the response can still meet the latency target, in milliseconds. */
    readonly targetStartMs: number;
    /** Latest useful start, in milliseconds; after it the caller gives up before its first event. */
    readonly latestStartMs: number;
    /** Deadline for the complete response, in milliseconds. */
    readonly deadlineMs: number;
    /** Priority of the request; 0 is the most urgent. */
    readonly priority: number;
    /** Client account; undefined if the request has none. */
    readonly account?: ClientAccountId | undefined;
}

/** Result of waiting for a slot. */
export type AdmissionResult =
    /** The request holds a slot. */
    | "admitted"
    /** The request would not get a slot in time. */
    | "refused"
    /** The wait was cancelled because the servers cannot run requests; the request holds no slot. */
    | "released";

interface Waiter {
    readonly call: QueuedCall;
    readonly settle: (result: AdmissionResult) => void;
}

/**
 * Time between reads of the limit, in milliseconds: the time that a report from another data centre takes.
 * With more frequent reads, one instance would take all free slots before the others could report the ones
 * they took.
 */
const LIMIT_REFRESH_MS = 400;
/**
 * Time after the last shortage of slots during which late requests are not admitted, in milliseconds. During
 * a burst slots are free only for moments; a shorter time gives these slots to late requests, a longer one
 * leaves slots unused after the burst.
 */
const SHORTAGE_HOLD_MS = 1_000;
/** Late requests that may wait per slot of this instance; more would wait in vain. */
const MAX_LATE_WAITERS_PER_SLOT = 0.15;
/** Assumed duration of a stream until one has been observed, in milliseconds. */
const INITIAL_MEAN_RUN_MS = 1_000;
/** Weight of a new sample in the moving average of durations; a larger one follows single long responses. */
const RUN_TIME_WEIGHT = 0.1;
/** Callers honour `Retry-After` only up to this share of their remaining time. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/**
 * Time after which a request that found the free slots reserved is considered again, in milliseconds: a small
 * part of the shortest usual wait of 200 ms.
 */
const RESERVE_POLL_MS = 40;

/**
 * Selects the request that is admitted next.
 *
 * @param calls - waiting requests
 * @param nowMs - current time, in milliseconds
 * @returns the most urgent, then the newest, of those that can still meet their latency target; if there is
 * none, the late one whose latest useful start comes first; undefined when nothing waits
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

/** Assigns the slots of one service to its requests. */
export class AdmissionQueue {
    private readonly options: AdmissionQueueOptions;
    private readonly waiters = new Set<Waiter>();
    private runningCalls = 0;
    private meanRunMs = INITIAL_MEAN_RUN_MS;
    private currentLimit = 0;
    private limitReadMs = Number.NEGATIVE_INFINITY;
    private lastShortageMs = Number.NEGATIVE_INFINITY;
    private readonly urgency = new UrgencyPolicy();
    private hasUrgency = false;
    private isPollPending = false;
    private refusedAtOnce = 0;

    /** @param options - clock and limit */
    public constructor(options: AdmissionQueueOptions) {
        this.options = options;
    }

    /** Number of waiting requests. */
    public get waiting(): number {
        return this.waiters.size;
    }

    /** Number of requests refused at once so far, because more urgent ones would have made them late. */
    public get refusedAtOnceCount(): number {
        return this.refusedAtOnce;
    }

    /** Number of requests that hold a slot. */
    public get running(): number {
        return this.runningCalls;
    }

    /** Moving average of the time for which a served request holds its slot, in milliseconds. */
    public get meanDurationMs(): number {
        return this.meanRunMs;
    }

    /**
     * Waits for a slot.
     *
     * @param call - the request
     * @param signal - cancels the wait; the request then counts as refused
     * @returns the result of the wait; an admitted request must call {@link AdmissionQueue.release}
     */
    public async acquire(call: QueuedCall, signal: AbortSignal): Promise<AdmissionResult> {
        if (signal.aborted) {
            return "refused";
        }
        const { clock } = this.options;
        this.urgency.recordArrival(call, clock.nowMs());
        const waitEnded = new AbortController();
        const result = await new Promise<AdmissionResult>(resolve => {
            const waiter: Waiter = {
                call,
                settle: outcome => {
                    this.waiters.delete(waiter);
                    resolve(outcome);
                },
            };
            this.waiters.add(waiter);
            signal.addEventListener("abort", () => waiter.settle("refused"), { signal: waitEnded.signal });
            this.dispatch();
            if (this.waiters.has(waiter) && clock.nowMs() < call.targetStartMs) {
                this.lastShortageMs = clock.nowMs();
                void this.dispatchAfterShortage();
                if (
                    this.hasUrgency
                    && this.urgency.isHopeless(call, this.waiters, this.slotUse(), clock.nowMs())
                ) {
                    this.refusedAtOnce++;
                    waiter.settle("refused");
                    return;
                }
            }
            void this.refuseOnceLate(waiter, waitEnded.signal);
        });
        waitEnded.abort();
        return result;
    }

    /**
     * Takes a slot without waiting, also beyond the limit: for a started stream whose caller already has a
     * part of the response.
     */
    public acquireAtOnce(): void {
        this.runningCalls++;
    }

    /**
     * Returns a slot.
     *
     * @param runMs - time for which the slot was held, in milliseconds; undefined when the request was not
     * served
     * @param call - the request that waited for the slot; undefined if it was taken at once
     */
    public release(runMs: number | undefined, call?: QueuedCall): void {
        this.runningCalls--;
        if (call) {
            this.urgency.recordEnd(call, runMs);
        }
        if (runMs !== undefined) {
            this.meanRunMs += RUN_TIME_WEIGHT * (runMs - this.meanRunMs);
        }
        this.dispatch();
    }

    /** Cancels all waits, because the servers cannot run requests at the moment. */
    public cancelWaiters(): void {
        for (const waiter of [...this.waiters]) {
            waiter.settle("released");
        }
    }

    /**
     * Computes when a refused caller should retry: as late as its remaining time allows, since the burst may
     * be over by then.
     *
     * @param remainingMs - remaining time of the caller, in milliseconds
     * @returns the delay with jitter, in milliseconds; at most a third of the remaining time
     */
    public retryAfterMs(remainingMs: number): number {
        return remainingMs * MAX_RETRY_AFTER_SHARE * (1 + this.options.random.nextFloat()) / 2;
    }

    private limit(): number {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.limitReadMs >= LIMIT_REFRESH_MS) {
            this.limitReadMs = nowMs;
            this.currentLimit = this.options.limit();
            this.hasUrgency = this.options.hasUrgency?.() ?? false;
        }
        return this.currentLimit;
    }

    private dispatch(): void {
        const nowMs = this.options.clock.nowMs();
        while (this.waiters.size > 0 && this.runningCalls < this.limit()) {
            const next = this.hasUrgency
                ? this.urgency.pickNext(this.waiters, nowMs)
                : pickNext(this.waiters, nowMs);
            const isLate = next !== undefined && nowMs >= next.call.targetStartMs;
            if (!next || isLate && nowMs - this.lastShortageMs < SHORTAGE_HOLD_MS) {
                return;
            }
            if (nowMs > this.latestStartMs(next.call)) {
                next.settle("refused");
                continue;
            }
            if (this.isReserved(next.call, nowMs)) {
                void this.dispatchLater();
                return;
            }
            this.runningCalls++;
            this.urgency.recordAdmission(next.call, nowMs);
            next.settle("admitted");
        }
    }

    private slotUse(): SlotUse {
        return { limit: this.limit(), running: this.runningCalls, meanRunMs: this.meanRunMs };
    }

    /** Tells whether the free slots are reserved for requests that are more urgent than the given one. */
    private isReserved({ priority }: QueuedCall, nowMs: number): boolean {
        if (!this.hasUrgency) {
            return false;
        }
        const use = this.slotUse();
        return this.runningCalls >= use.limit - this.urgency.reserveFor(priority, use, nowMs);
    }

    /** Considers the waiting requests again when the measured demand for reserved slots may have fallen. */
    private async dispatchLater(): Promise<void> {
        if (!this.isPollPending) {
            this.isPollPending = true;
            await sleep(this.options.clock, RESERVE_POLL_MS);
            this.isPollPending = false;
            this.dispatch();
        }
    }

    /**
     * Admits late requests after a shortage; without it they would wait until another request ends although
     * slots are free.
     */
    private async dispatchAfterShortage(): Promise<void> {
        await sleep(this.options.clock, SHORTAGE_HOLD_MS);
        this.dispatch();
    }

    /**
     * Refuses a request once it can no longer meet its latency target: at once if enough late requests
     * already wait for spare slots, else when a start is of no use any more.
     */
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

    private latestStartMs({ deadlineMs, latestStartMs }: QueuedCall): number {
        return Math.min(latestStartMs, deadlineMs - this.meanRunMs);
    }
}
