/**
 * Log events of the pass budget and of the placement of prompts, numbers 8070 to 8072.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The pass budget of a group applies. */
export const passBudgetBegan = defineEvent({
    number: 8070,
    name: "direct.group.pass-budget-began",
    level: "info",
    summary:
        "Pauses between events exceed the gap target of a route; the group runs fewer requests at once than it has slots.",
});

/** The pass budget of a group applies no more. */
export const passBudgetEnded = defineEvent({
    number: 8071,
    name: "direct.group.pass-budget-ended",
    level: "info",
    summary:
        "Pauses at full slots would meet the gap target again, were not measured lately, or cannot meet it; the slots alone count.",
});

/** The token counts of a request cannot be read. */
export const tokenUsageUnreadable = defineEvent({
    number: 8072,
    name: "direct.call.token-usage-unreadable",
    level: "warning",
    summary:
        "The token counts that a caller declares cannot be read; the parts of its prompt, or the usual length, are used.",
});
