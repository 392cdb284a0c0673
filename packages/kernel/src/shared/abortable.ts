/**
 * Work that its signal ends at once. HTTP clients tell of an abort only once the connection is open or has failed, which takes
 * seconds when the host is silent.
 *
 * @packageDocumentation
 */

/**
 * Waits for work until a signal aborts. The work itself goes on until it notices the signal; its result is dropped then.
 *
 * @param work - the work, which follows the same signal
 * @param signal - ends the wait
 * @returns the result of the work
 * @throws the reason of the signal if it aborts first
 */
export const untilAborted = <T>(work: Promise<T>, signal: AbortSignal): Promise<T> =>
    new Promise((resolve, reject) => {
        const onAbort = (): void => reject(signal.reason as Error);
        if (signal.aborted) {
            onAbort();
        }
        signal.addEventListener("abort", onAbort, { once: true });
        work.then(resolve, reject).finally(() => signal.removeEventListener("abort", onAbort));
    });
