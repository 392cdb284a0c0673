/**
 * Delivery of external outcomes to a process that may be paused or killed.
 *
 * @packageDocumentation
 */

import { createDeferred } from "@magnolialock/kernel";

/** Runs an action in a process: immediately, after its pause, or never if it was killed. */
export type RunInProcess = (action: () => void) => void;

/**
 * Mirrors a promise into a process: the outcome is held back while the process is paused and dropped if it
 * was killed.
 *
 * @param promise - promise that settles outside the process
 * @param runInProcess - runs the settlement in the process
 * @returns a promise that settles inside the process, with the same value or error
 */
export const settleInProcess = <T>(promise: Promise<T>, runInProcess: RunInProcess): Promise<T> => {
    const deferred = createDeferred<T>();
    promise.then(
        value => runInProcess(() => deferred.resolve(value)),
        (error: unknown) => runInProcess(() => deferred.reject(error)),
    );
    return deferred.promise;
};
