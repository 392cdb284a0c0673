/**
 * Rule kind `drain`.
 *
 * @packageDocumentation
 */

import type { BackendServerId } from "@magnolialock/kernel";
import { referenceField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

/** Drains a backend server; removing the line returns it to service. */
export const drainKind = defineRuleKind({
    name: "drain",
    summary: "Drains a backend server: it finishes its running calls and gets no new work.",
    example: "drain redator-3 # Ana: new disk",
    positional: { server: referenceField<BackendServerId>("server") },
    fields: {},
    apply: ({ server }, builder, position) => {
        builder.requireUnique("drain", server, position);
        builder.drainingServers.add(server);
    },
});
