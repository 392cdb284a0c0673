/**
 * Identifiers of process incarnations.
 *
 * @packageDocumentation
 */

import { branded, type IncarnationId, type Runtime } from "@magnolialock/kernel";

const MAX_SUFFIX = 0x7fffffff;

/**
 * Creates the identifier of a new incarnation of this process from the wall time and a random number.
 *
 * @param runtime - clock and random numbers
 * @returns an identifier that no other incarnation has
 */
export const createIncarnationId = (runtime: Runtime): IncarnationId => {
    const wall = Math.floor(runtime.clock.wallMs()).toString(36);
    const suffix = runtime.random.nextInt(0, MAX_SUFFIX).toString(36);
    return branded<IncarnationId>(`${wall}-${suffix}`);
};
