/**
 * Admission: how many calls run at once, and in which order the others wait.
 *
 * @packageDocumentation
 */

import { AbortedError, type Clock } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";
import { RefusedError } from "./refusedError.ts";

/** What a call needs to be admitted. */
export interface AdmissionTicket {
    /** Urgency, smaller is more urgent. */
    readonly priority: number;
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
}

interface Waiter {
    readonly ticket: AdmissionTicket;
    readonly order: number;
    readonly admit: () => void;
    readonly refuse: (error: Error) => void;
}

/** Counts running calls and lets the most urgent waiter start when one ends. */
export class AdmissionQueue {
    private readonly clock: Clock;
    private readonly limit: () => number;
    private readonly queueLimit: () => number;
    private waiters: Waiter[] = [];
    private runningCount = 0;
    private nextOrder = 0;

    /** @param options - clock and limits */
    public constructor(options: AdmissionQueueOptions) {
        this.clock = options.clock;
        this.limit = options.limit;
        this.queueLimit = options.queueLimit;
    }

    /** Calls that run. */
    public get running(): number {
        return this.runningCount;
    }

    /** Calls that wait. */
    public get queued(): number {
        return this.waiters.length;
    }

    /**
     * Waits for a slot.
     *
     * @param ticket - urgency and deadline
     * @returns the slot; disposing it lets the next call start
     * @throws RefusedError when the queue is full or the deadline passes
     */
    public async acquire(ticket: AdmissionTicket): Promise<Disposable> {
        if (this.waiters.length === 0 && this.runningCount < this.limit()) {
            return this.takeSlot();
        }
        if (this.waiters.length >= this.queueLimit()) {
            throw new RefusedError("the queue is full", { props: { reason: RefusalReason.OVERLOADED } });
        }
        return this.wait(ticket);
    }

    /** Starts as many waiters as the limit allows; called when the limit rises. */
    public admitWaiting(): void {
        while (this.waiters.length > 0 && this.runningCount < this.limit()) {
            const next = this.waiters.reduce((best, waiter) =>
                waiter.ticket.priority < best.ticket.priority ? waiter : best
            );
            next.admit();
        }
    }

    /**
     * Refuses everything that waits.
     *
     * @param error - what the waiters get
     */
    public refuseWaiting(error: Error): void {
        for (const waiter of [...this.waiters]) {
            waiter.refuse(error);
        }
    }

    private takeSlot(): Disposable {
        this.runningCount++;
        let isReleased = false;
        return {
            [Symbol.dispose]: () => {
                if (!isReleased) {
                    isReleased = true;
                    this.runningCount--;
                    this.admitWaiting();
                }
            },
        };
    }

    private wait(ticket: AdmissionTicket): Promise<Disposable> {
        return new Promise((resolve, reject) => {
            const leave = (): void => {
                this.waiters = this.waiters.filter(other => other !== waiter);
                timer.cancel();
                ticket.signal.removeEventListener("abort", onAbort);
            };
            const waiter: Waiter = {
                ticket,
                order: this.nextOrder++,
                admit: () => {
                    leave();
                    resolve(this.takeSlot());
                },
                refuse: error => {
                    leave();
                    reject(error);
                },
            };
            const onAbort = (): void => waiter.refuse(new AbortedError("the caller is gone"));
            const timer = this.clock.setTimer(
                ticket.deadlineMs - this.clock.nowMs(),
                () =>
                    waiter.refuse(
                        new RefusedError("the deadline passed in the queue", {
                            props: { reason: RefusalReason.DEADLINE },
                        }),
                    ),
            );
            ticket.signal.addEventListener("abort", onAbort, { once: true });
            this.waiters.push(waiter);
        });
    }
}
