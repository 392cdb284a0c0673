/**
 * Runs asynchronous work one piece at a time.
 *
 * @packageDocumentation
 */

/** Queue of asynchronous work, in the order of calls. */
export class SerialExecutor {
    private tail: Promise<unknown> = Promise.resolve();

    /**
     * Runs work after all earlier work.
     *
     * @param work - what to run
     * @returns its result
     */
    public run<T>(work: () => Promise<T>): Promise<T> {
        const result = this.tail.then(work);
        this.tail = result.catch(() => {});
        return result;
    }
}
