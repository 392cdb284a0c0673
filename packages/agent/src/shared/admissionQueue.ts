/**
 * Admission: how many calls run at once, and in which order the others wait.
 *
 * @packageDocumentation
 */

import { AbortedError, type Clock, createDeferred, isFaultSeeded } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";
import { FairQueue, type FairQueueItem } from "./fairQueue.ts";
import { RefusedError } from "./refusedError.ts";
import type { ServiceTimes } from "./serviceTimes.ts";

/** What a call needs to be admitted. */
export interface AdmissionRequest extends FairQueueItem {
    /** Time at which the caller gives up, on the agent's clock, in milliseconds. */
    readonly deadlineMs: number;
    /** Gives the wait up. */
    readonly signal: AbortSignal;
}

/** Options of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Calls that may run at once now. */
    readonly limit: () => number;
    /** Calls that may wait now. */
    readonly queueLimit: () => number;
    /** Measured service times. */
    readonly serviceTimes: Pick<ServiceTimes, "expectedMs">;
    /**
     * Looks for reasons against any start, for example a pause of the process, before each one.
     *
     * @throws RefusedError that all waiting calls get
     */
    readonly checkStart: () => void;
    /** Called after each change of the running or waiting calls. */
    readonly onChange: () => void;
}

interface Waiter extends FairQueueItem {
    readonly request: AdmissionRequest;
    readonly admit: () => void;
    readonly refuse: (error: Error) => void;
}

const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 10_000;
/** Advice while nothing has been measured, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Counts running calls; when one ends, the waiter whose turn it is starts. */
export class AdmissionQueue {
    private readonly options: AdmissionQueueOptions;
    private readonly waiting = new FairQueue<Waiter>();
    private runningCount = 0;

    /** @param options - clock, limits and checks */
    public constructor(options: AdmissionQueueOptions) {
        this.options = options;
    }

    /** Calls that run. */
    public get running(): number {
        return this.runningCount;
    }

    /** Calls that wait. */
    public get queued(): number {
        return this.waiting.size;
    }

    /**
     * Waits for a slot.
     *
     * @param request - urgency, account and deadline
     * @returns the slot; disposing it lets the next call start
     * @throws RefusedError at once when the call cannot finish in time or the queue is full, later when another call
     * takes its place, the deadline comes too near or starts are no longer allowed
     */
    public async acquire(request: AdmissionRequest): Promise<Disposable> {
        const startsNow = this.waiting.size === 0 && this.hasFreeSlot();
        if (startsNow || isFaultSeeded("agent.skip-admission")) {
            return this.takeSlot();
        }
        this.requireTime(request);
        return this.wait(request);
    }

    /** Starts as many waiters as the limit allows; called when the limit rises. */
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
     * Refuses everything that waits.
     *
     * @param error - what the waiters get
     */
    public refuseWaiting(error: Error): void {
        for (const waiter of this.waiting.items()) {
            waiter.refuse(error);
        }
    }

    /** Refuses the waiters that can no longer finish in time; called when the limit falls. */
    public refuseLate(): void {
        for (const waiter of this.waiting.items()) {
            const { deadlineMs, priority } = waiter.request;
            if (this.waitMs(priority) + this.expectedMs(priority) > deadlineMs - this.options.clock.nowMs()) {
                waiter.refuse(this.lateError());
            }
        }
    }

    /**
     * Estimates when a refused call may come back.
     *
     * @returns time until the present queue is worked off, in milliseconds
     */
    public retryAfterMs(): number {
        const waitMs = this.waitMs(Number.POSITIVE_INFINITY);
        const adviceMs = waitMs > 0 ? waitMs : DEFAULT_RETRY_AFTER_MS;
        return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, adviceMs)));
    }

    /** Reads the limit first: the read may end a lease, and what follows from that may change the running calls. */
    private hasFreeSlot(): boolean {
        const limit = this.options.limit();
        return this.runningCount < limit;
    }

    private expectedMs(priority: number): number {
        return this.options.serviceTimes.expectedMs(priority);
    }

    /** Time until a new call of a class would start, by what waits before it. */
    private waitMs(priority: number): number {
        const limit = Math.max(1, this.options.limit());
        const workMs = this.waiting.countByPriority()
            .filter(entry => entry.priority <= priority)
            .reduce((sumMs, entry) => sumMs + entry.count * this.expectedMs(entry.priority), 0);
        return workMs / limit;
    }

    private requireTime(request: AdmissionRequest): void {
        const remainingMs = request.deadlineMs - this.options.clock.nowMs();
        if (this.waitMs(request.priority) + this.expectedMs(request.priority) > remainingMs) {
            throw this.lateError();
        }
    }

    private lateError(): Error {
        return new RefusedError("the call cannot finish before its deadline", {
            props: { reason: RefusalReason.DEADLINE, retryAfterMs: this.retryAfterMs() },
        });
    }

    private fullError(): Error {
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

    /** Adds a waiter, if need be in the place of one with a weaker claim. */
    private enqueue(waiter: Waiter): void {
        if (this.waiting.size >= this.options.queueLimit()) {
            const victim = this.waiting.findVictim(waiter);
            if (!victim) {
                throw this.fullError();
            }
            victim.refuse(this.fullError());
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
        const onAbort = (): void => waiter.refuse(new AbortedError("the call was given up in the queue"));
        this.enqueue(waiter);
        const latestStartMs = request.deadlineMs - this.expectedMs(priority);
        using _timer = clock.setTimer(latestStartMs - clock.nowMs(), () => waiter.refuse(this.lateError()));
        request.signal.addEventListener("abort", onAbort, { once: true });
        try {
            return await promise;
        }
        finally {
            request.signal.removeEventListener("abort", onAbort);
        }
    }
}
