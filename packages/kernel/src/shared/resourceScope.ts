/**
 * Owner of several resources that are disposed together.
 *
 * @packageDocumentation
 */

/** Disposes its resources in the reverse of the order in which they were added. */
export class ResourceScope implements AsyncDisposable {
    private readonly cleanups: (() => void | Promise<void>)[] = [];

    /**
     * Takes ownership of a resource.
     *
     * @param resource - anything disposable
     * @returns the same resource
     */
    public use<T extends AsyncDisposable | Disposable>(resource: T): T {
        this.defer(() =>
            Symbol.asyncDispose in resource
                ? Promise.resolve(resource[Symbol.asyncDispose]())
                : (resource as Disposable)[Symbol.dispose]()
        );
        return resource;
    }

    /**
     * Adds a clean-up step.
     *
     * @param cleanup - function to run on disposal
     */
    public defer(cleanup: () => void | Promise<void>): void {
        this.cleanups.push(cleanup);
    }

    /** Runs all clean-up steps, also after an error; then throws the first error. */
    public async [Symbol.asyncDispose](): Promise<void> {
        const errors: unknown[] = [];
        for (let cleanup = this.cleanups.pop(); cleanup; cleanup = this.cleanups.pop()) {
            try {
                await cleanup();
            }
            catch (error) {
                errors.push(error);
            }
        }
        if (errors.length > 0) {
            throw errors[0];
        }
    }
}
