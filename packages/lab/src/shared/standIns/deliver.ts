/**
 * Delivery of what happens outside to a process that may be paused or dead.
 *
 * @packageDocumentation
 */

import { createDeferred } from "@magnolialock/kernel";

/** Runs an action in a process: at once, after its pause, or never when it was killed. */
export type Deliver = (action: () => void) => void;

/**
 * Lets a process see the outcome of a promise only while it runs.
 *
 * @param promise - the promise
 * @param deliver - delivers to the process
 * @returns a promise that settles in the process
 */
export const deliverOutcome = <T>(promise: Promise<T>, deliver: Deliver): Promise<T> => {
    const deferred = createDeferred<T>();
    promise.then(
        value => deliver(() => deferred.resolve(value)),
        (error: unknown) => deliver(() => deferred.reject(error)),
    );
    return deferred.promise;
};
