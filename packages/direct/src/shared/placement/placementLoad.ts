/**
 * Load of a server for the placement of a request: running requests, and prompts that are still to be read there.
 *
 * It handles the load pattern of long beside short prompts: a server reads one prompt after the other, so a prompt that
 * is sent to it while it reads a long one starts late although the server has free slots.
 *
 * @packageDocumentation
 */

import type { EngineTiming } from "../../types/publishedState.ts";
import type { TrackedServer } from "../trackedServer.ts";
import { maxReadTokens } from "./passModel.ts";

/**
 * Running requests that weigh as much as one pass full of unread prompt tokens. In replays of six seeds, 4 gave an equal
 * worth on Himal and 0.05 to 0.12 more on Sherba than 0; 2 gave less than 4.
 */
const REQUESTS_PER_UNREAD_PASS = 4;
/**
 * Passes of unread tokens that count at most, so that callers who declare very long prompts do not keep the requests of
 * others away from a server.
 */
const MAX_UNREAD_PASSES = 2;

/**
 * Computes the load of a server beyond what it may run at once.
 *
 * @param server - the server, with its running requests and unread prompts
 * @param requests - requests that it may run at once
 * @param timing - timing of the engine
 * @returns the load, in requests; negative while the server has room
 */
export const placementLoad = (
    { running, unreadPromptTokens }: Pick<TrackedServer, "running" | "unreadPromptTokens">,
    requests: number,
    timing: EngineTiming,
): number => {
    const unreadPasses = Math.min(MAX_UNREAD_PASSES, unreadPromptTokens / maxReadTokens(timing));
    return running - requests + REQUESTS_PER_UNREAD_PASS * unreadPasses;
};
