/**
 * Refusals by the agent. A refused request has not run on this backend server and never will.
 *
 * @packageDocumentation
 */

import { MagnolialockError } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";

/** The agent refused a request before it started. */
export const RefusedError = MagnolialockError.subclass("RefusedError", {
    props: { reason: RefusalReason.UNSPECIFIED as RefusalReason, retryAfterMs: 0 },
});
