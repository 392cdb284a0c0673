/**
 * Seeded faults: deliberate defects that tests enable to show that the checks of the test harness detect
 * them.
 *
 * The bundled programs define `MAGNOLIALOCK_TEST_BUILD` as `"false"`, which removes every seeded fault from
 * them.
 *
 * @packageDocumentation
 */

/** Names of the enabled faults. */
const activeFaults = new Set<string>();

/**
 * Tells whether a fault is enabled. Always false outside the test build.
 *
 * @param name - name of the fault, `package.what-goes-wrong`
 * @returns true if the calling code should show the defect
 */
export const isFaultSeeded = (name: string): boolean => {
    if (process.env["MAGNOLIALOCK_TEST_BUILD"] === "false") {
        return false;
    }
    return activeFaults.has(name);
};

/**
 * Enables faults until the result is disposed.
 *
 * @param names - names of the faults
 * @returns a handle; disposing it disables the faults
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
