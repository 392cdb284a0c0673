/**
 * Refusals of the agent. A refused request has not run here and never will.
 *
 * @packageDocumentation
 */

import { MagnolialockError } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";

/** The agent refuses a request before it starts. */
export const RefusedError = MagnolialockError.subclass("RefusedError", {
    props: { reason: RefusalReason.UNSPECIFIED as RefusalReason, retryAfterMs: 0 },
});
