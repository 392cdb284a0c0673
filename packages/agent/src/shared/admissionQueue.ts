/**
 * Admission control: limits concurrent calls and queues the others by priority and client account.
 *
 * @packageDocumentation
 */

import { AbortedError, type Clock, createDeferred, isFaultSeeded } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";
import { type ClassCount, FairQueue } from "./fairQueue.ts";
import type { FairQueueItem } from "./priorityClassQueue.ts";
import { RefusedError } from "./refusedError.ts";
import type { ServiceTimes } from "./serviceTimes.ts";

/** A call that asks for admission. */
export interface AdmissionRequest extends FairQueueItem {
    /** Deadline of the caller, on the agent's clock, in milliseconds. */
    readonly deadlineMs: number;
    /** Cancels the wait. */
    readonly signal: AbortSignal;
}

/** Options of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Gives the number of calls that may run concurrently now. */
    readonly limit: () => number;
    /**
     * Gives the concurrency to use in estimates. It ignores a suspension of the warmth lease, because the
     * lease may soon be restored.
     */
    readonly expectedLimit: () => number;
    /** Gives the number of calls that may wait now. */
    readonly queueLimit: () => number;
    /** Measured service times. */
    readonly serviceTimes: Pick<ServiceTimes, "expectedMs">;
    /**
     * Called before a waiting call starts; checks for conditions that forbid every start, such as a pause.
     *
     * @throws RefusedError with which all waiting calls are refused
     */
    readonly checkStart: () => void;
    /** Called after each change in the number of running or waiting calls. */
    readonly onChange: () => void;
}

interface Waiter extends FairQueueItem {
    readonly request: AdmissionRequest;
    readonly admit: () => void;
    readonly refuse: (error: Error) => void;
}

const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 10_000;
/** Retry delay while the queue is empty or no service time has been measured, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Counts the running calls and, whenever one ends, starts the next waiting call. */
export class AdmissionQueue {
    private readonly options: AdmissionQueueOptions;
    private readonly waiting = new FairQueue<Waiter>();
    private runningCount = 0;

    /** @param options - clock, limits and checks */
    public constructor(options: AdmissionQueueOptions) {
        this.options = options;
    }

    /** Number of running calls. */
    public get running(): number {
        return this.runningCount;
    }

    /** Number of waiting calls. */
    public get queued(): number {
        return this.waiting.size;
    }

    /**
     * Waits for a slot.
     *
     * @param request - priority, client account and deadline
     * @returns the slot; disposing it lets the next call start
     * @throws RefusedError at once if the call cannot meet its deadline or the queue is full; later if
     * another call takes its place in the queue, its deadline comes too near or starts are no longer allowed
     * @throws AbortedError if the signal aborts while the call waits
     */
    public async acquire(request: AdmissionRequest): Promise<Disposable> {
        const startsNow = this.waiting.size === 0 && this.hasFreeSlot();
        if (startsNow || isFaultSeeded("agent.skip-admission")) {
            return this.takeSlot();
        }
        return this.wait(request);
    }

    /** Starts as many waiting calls as the limit allows; called after a call ends or the limit changes. */
    public admitWaiting(): void {
        while (this.waiting.size > 0 && this.hasFreeSlot()) {
            try {
                this.options.checkStart();
            }
            catch (error) {
                this.refuseWaiting(error as Error);
                return;
            }
            this.waiting.shift()?.admit();
        }
    }

    /**
     * Refuses all waiting calls.
     *
     * @param error - error with which their waits reject
     */
    public refuseWaiting(error: Error): void {
        for (const waiter of this.waiting.items()) {
            waiter.refuse(error);
        }
    }

    /** Refuses the waiting calls that can no longer meet their deadlines; called when the limit changes. */
    public refuseUnmeetable(): void {
        for (const { item, ownAhead } of this.waiting.positions()) {
            const ahead = this.waiting.countAhead(item, ownAhead);
            if (this.cannotMeetDeadline(item.request, ahead)) {
                item.refuse(this.deadlineError());
            }
        }
    }

    /**
     * Estimates after what delay a refused call should be retried.
     *
     * @returns expected time until the present queue is drained, clamped to sensible bounds, in milliseconds
     */
    public retryAfterMs(): number {
        const waitMs = this.drainTimeMs(this.waiting.countByPriority());
        const estimateMs = waitMs > 0 ? waitMs : DEFAULT_RETRY_AFTER_MS;
        return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, estimateMs)));
    }

    /**
     * Reads the limit before the number of running calls: the read may end the warmth lease, and the
     * consequences may change that number.
     */
    private hasFreeSlot(): boolean {
        const limit = this.options.limit();
        return this.runningCount < limit;
    }

    private expectedMs(priority: number): number {
        return this.options.serviceTimes.expectedMs(priority);
    }

    /** Expected time to finish the given calls, by the measured service times of their priority classes. */
    private drainTimeMs(counts: readonly ClassCount[]): number {
        const limit = Math.max(1, this.options.expectedLimit());
        const sumMs = counts.reduce((sum, { priority, count }) => sum + count * this.expectedMs(priority), 0);
        return sumMs / limit;
    }

    /** Whether a call would miss its deadline with the given calls ahead of it. */
    private cannotMeetDeadline(
        { deadlineMs, priority }: AdmissionRequest,
        ahead: readonly ClassCount[],
    ): boolean {
        const remainingMs = deadlineMs - this.options.clock.nowMs();
        return this.drainTimeMs(ahead) + this.expectedMs(priority) > remainingMs;
    }

    private deadlineError(): Error {
        return new RefusedError("the call cannot finish before its deadline", {
            props: { reason: RefusalReason.DEADLINE, retryAfterMs: this.retryAfterMs() },
        });
    }

    private queueFullError(): Error {
        return new RefusedError("the queue is full", {
            props: { reason: RefusalReason.OVERLOADED, retryAfterMs: this.retryAfterMs() },
        });
    }

    private takeSlot(): Disposable {
        this.runningCount++;
        this.options.onChange();
        let isReleased = false;
        return {
            [Symbol.dispose]: () => {
                if (!isReleased) {
                    isReleased = true;
                    this.runningCount--;
                    this.admitWaiting();
                    this.options.onChange();
                }
            },
        };
    }

    /** Queues a waiter; in a full queue it replaces one with a weaker claim or is refused. */
    private enqueue(waiter: Waiter): void {
        if (this.waiting.size >= this.options.queueLimit()) {
            const evicted = this.waiting.findEvictionCandidate(waiter);
            if (!evicted) {
                throw this.queueFullError();
            }
            evicted.refuse(this.queueFullError());
        }
        this.waiting.push(waiter);
        this.options.onChange();
    }

    private async wait(request: AdmissionRequest): Promise<Disposable> {
        const { clock } = this.options;
        const { promise, resolve, reject } = createDeferred<Disposable>();
        const { priority, account, weight } = request;
        const waiter: Waiter = {
            request,
            priority,
            account,
            weight,
            admit: () => resolve(this.takeSlot()),
            refuse: error => {
                this.waiting.remove(waiter);
                this.options.onChange();
                reject(error);
            },
        };
        if (this.cannotMeetDeadline(request, this.waiting.countAhead(waiter))) {
            throw this.deadlineError();
        }
        const onAbort = (): void => waiter.refuse(new AbortedError("the call was given up in the queue"));
        this.enqueue(waiter);
        const latestStartMs = request.deadlineMs - this.expectedMs(priority);
        using _timer = clock.setTimer(
            latestStartMs - clock.nowMs(),
            () => waiter.refuse(this.deadlineError()),
        );
        request.signal.addEventListener("abort", onAbort, { once: true });
        try {
            return await promise;
        }
        finally {
            request.signal.removeEventListener("abort", onAbort);
        }
    }
}
