/**
 * Faults that the test build can switch on, so that the proof harness shows that it finds them.
 *
 * The bundled programs define `MAGNOLIALOCK_TEST_BUILD` as `"false"`, which removes every fault from them.
 *
 * @packageDocumentation
 */

/** Names of the faults that are switched on. */
const activeFaults = new Set<string>();

/**
 * Tells whether a fault is switched on. Always false outside the test build.
 *
 * @param name - name of the fault, `part.what-goes-wrong`
 * @returns true when the code should go wrong on purpose
 */
export const isFaultSeeded = (name: string): boolean => {
    if (process.env["MAGNOLIALOCK_TEST_BUILD"] === "false") {
        return false;
    }
    return activeFaults.has(name);
};

/**
 * Switches faults on until the result is disposed.
 *
 * @param names - names of the faults
 * @returns disposing it switches them off
 */
export const seedFaults = (names: readonly string[]): Disposable => {
    for (const name of names) {
        activeFaults.add(name);
    }
    return {
        [Symbol.dispose]: () => {
            for (const name of names) {
                activeFaults.delete(name);
            }
        },
    };
};
