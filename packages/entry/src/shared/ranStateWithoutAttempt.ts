/**
 * The `ran` state of a failure that this entry reports without having called an agent.
 *
 * @packageDocumentation
 */

import type { RanState } from "../types/caller.ts";

/**
 * Tells whether a request that this entry has not forwarded may have run. A caller that sends a ticket may
 * have tried before, so only the agent of the ticket can know.
 *
 * @param ticket - ticket that the caller sent
 * @returns `not run` without a ticket, `outcome unknown` with one
 */
export const ranStateWithoutAttempt = (ticket: string | undefined): RanState =>
    ticket === undefined ? "not run" : "outcome unknown";
