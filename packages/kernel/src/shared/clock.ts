/**
 * Interface to time and timers. Real processes use the system clock, tests a virtual clock.
 *
 * @packageDocumentation
 */

import { AbortedError } from "./errors.ts";

/** A pending timer; disposing it cancels it. */
export interface Timer extends Disposable {
    /** Cancels the timer; has no effect once it has fired. */
    cancel(): void;
}

/** Source of time and timers. */
export interface Clock {
    /** Monotonic time in milliseconds; only differences have a meaning. */
    nowMs(): number;
    /** Wall-clock time in milliseconds since the Unix epoch; may jump. */
    wallMs(): number;
    /**
     * Calls a function once after a delay.
     *
     * @param delayMs - delay in milliseconds
     * @param callback - function to call
     * @returns the pending timer
     */
    setTimer(delayMs: number, callback: () => void): Timer;
}

/**
 * Waits for a delay.
 *
 * @param clock - source of time
 * @param delayMs - how long to wait, in milliseconds
 * @param signal - ends the wait early
 * @returns a promise that resolves after the delay
 * @throws AbortedError when the signal aborts first
 */
export const sleep = (clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve, reject) => {
        if (signal?.aborted) {
            reject(new AbortedError("the wait was aborted"));
            return;
        }
        const onAbort = (): void => {
            timer.cancel();
            reject(new AbortedError("the wait was aborted"));
        };
        const timer = clock.setTimer(delayMs, () => {
            signal?.removeEventListener("abort", onAbort);
            resolve();
        });
        signal?.addEventListener("abort", onAbort, { once: true });
    });

/**
 * Creates a signal that aborts after a timeout or together with one of its parent signals.
 *
 * @param clock - source of time
 * @param timeoutMs - timeout in milliseconds
 * @param parents - signals to follow
 * @returns the signal; disposing it cancels the timer and stops following the parents
 */
export const timeoutSignal = (
    clock: Clock,
    timeoutMs: number,
    ...parents: readonly (AbortSignal | undefined)[]
): { readonly signal: AbortSignal; } & Disposable => {
    const controller = new AbortController();
    const onParentAbort = (): void => controller.abort(parents.find(parent => parent?.aborted)?.reason);
    const timer = clock.setTimer(
        timeoutMs,
        () => controller.abort(new AbortedError(`timed out after ${timeoutMs} ms`)),
    );
    if (parents.some(parent => parent?.aborted)) {
        onParentAbort();
    }
    parents.forEach(parent => parent?.addEventListener("abort", onParentAbort, { once: true }));
    return {
        signal: controller.signal,
        [Symbol.dispose]: () => {
            timer.cancel();
            parents.forEach(parent => parent?.removeEventListener("abort", onParentAbort));
        },
    };
};

/**
 * Waits for a promise for a limited time.
 *
 * @param clock - source of time
 * @param work - the promise
 * @param withinMs - longest wait, in milliseconds
 * @returns whether the promise was fulfilled or rejected in this time
 */
export const settlesWithin = (clock: Clock, work: Promise<unknown>, withinMs: number): Promise<boolean> =>
    new Promise(resolve => {
        const timer = clock.setTimer(withinMs, () => resolve(false));
        const settle = (): void => {
            timer.cancel();
            resolve(true);
        };
        work.then(settle, settle);
    });
