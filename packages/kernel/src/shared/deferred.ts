/**
 * A promise that is settled from outside.
 *
 * @packageDocumentation
 */

/** A promise with the functions that settle it. */
export interface Deferred<T> {
    /** The promise. */
    readonly promise: Promise<T>;
    /** Fulfils it. */
    readonly resolve: (value: T) => void;
    /** Rejects it. */
    readonly reject: (error: unknown) => void;
}

/**
 * Creates a promise that is settled from outside.
 *
 * @returns the promise and its functions
 */
export const createDeferred = <T>(): Deferred<T> => {
    let resolve!: (value: T) => void;
    let reject!: (error: unknown) => void;
    const promise = new Promise<T>((onResolve, onReject) => {
        resolve = onResolve;
        reject = onReject;
    });
    return { promise, resolve, reject };
};
