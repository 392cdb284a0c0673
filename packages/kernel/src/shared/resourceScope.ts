/**
 * Ownership of several resources that end together.
 *
 * @packageDocumentation
 */

/** Disposes what it owns in the reverse order of adding. */
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
     * @param cleanup - what to run at the end
     */
    public defer(cleanup: () => void | Promise<void>): void {
        this.cleanups.push(cleanup);
    }

    /** Runs all clean-up steps; the first error is thrown after the last step. */
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
