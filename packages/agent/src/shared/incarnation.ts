/**
 * Names of lives of processes.
 *
 * @packageDocumentation
 */

import { branded, type IncarnationId, type Runtime } from "@magnolialock/kernel";

const MAX_SUFFIX = 0x7fffffff;

/**
 * Draws a name for a new life of this process.
 *
 * @param runtime - clock and random numbers
 * @returns a name that no other life has
 */
export const newIncarnation = (runtime: Runtime): IncarnationId => {
    const wall = Math.floor(runtime.clock.wallMs()).toString(36);
    const suffix = runtime.random.nextInt(0, MAX_SUFFIX).toString(36);
    return branded<IncarnationId>(`${wall}-${suffix}`);
};
