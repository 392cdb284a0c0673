/**
 * What a refusal that asked no agent may say.
 *
 * @packageDocumentation
 */

import type { RanState } from "../types/caller.ts";

/**
 * Says whether a request that this entry has not passed on may have run. A caller that sends a ticket has tried before,
 * so only the agent of the ticket can know.
 *
 * @param ticket - ticket that the caller sent
 * @returns `not run` for a first try
 */
export const unservedRan = (ticket: string | undefined): RanState =>
    ticket === undefined ? "not run" : "outcome unknown";
