/**
 * Rule kind `call`.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import { PRIORITY_CLASSES } from "../../types/ruleSet.ts";
import { choiceField, patternField, referenceField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

/** Sets the priority of calls and whether they may be repeated. */
export const callKind = defineRuleKind({
    name: "call",
    summary: "Sets the priority of calls and whether they may be repeated; the first matching line applies.",
    example: "call painel POST /bookings* priority=booking repeat=no # Ana: charges",
    positional: {
        service: referenceField<ServiceName>("service"),
        method: choiceField(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
        path: patternField({
            pattern: /^\/[A-Za-z0-9._~/-]*\*?$/,
            placeholder: "/PATH",
            advice: "write a path like /bookings or /signs/*",
        }),
    },
    fields: { priority: choiceField(PRIORITY_CLASSES), repeat: choiceField(["yes", "no"]) },
    apply: ({ service, method, path, priority, repeat }, builder, position) => {
        builder.requireUnique("the call", `${service} ${method} ${path}`, position);
        builder.calls.push({ service, method, path, priority, isRepeatable: repeat === "yes" });
    },
});
