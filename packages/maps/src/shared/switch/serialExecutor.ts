/**
 * Serial execution of asynchronous work.
 *
 * @packageDocumentation
 */

/** Runs asynchronous work one call at a time, in the order of the calls. */
export class SerialExecutor {
    private tail: Promise<unknown> = Promise.resolve();

    /**
     * Runs work after all earlier work has ended, whether or not that failed.
     *
     * @param work - function to run
     * @returns its result
     */
    public run<T>(work: () => Promise<T>): Promise<T> {
        const result = this.tail.then(work);
        this.tail = result.catch(() => {});
        return result;
    }
}
