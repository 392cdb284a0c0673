/**
 * Log event of the account of what a process holds for its callers, number 8073.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** Connections of callers were closed because of what they hold. */
export const callersClosed = defineEvent({
    number: 8073,
    name: "direct.callers.closed",
    level: "warning",
    summary:
        "Connections of callers were closed because of the memory or descriptors that they hold, or as floods.",
});
