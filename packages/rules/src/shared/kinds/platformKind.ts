/**
 * Rule kind `platform`.
 *
 * @packageDocumentation
 */

import { MAX_RULES_ERA } from "@magnolialock/kernel";
import { integerField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

/** States how often the platform was restored from an older copy. */
export const platformKind = defineRuleKind({
    name: "platform",
    summary:
        "States the era of the platform: raise it by one when the platform was restored from an older copy, "
        + "so that rules with lower revisions come into force again.",
    example: "platform era=1 # Ana: restored from the copy of Monday",
    positional: {},
    fields: { era: integerField({ min: 0, max: MAX_RULES_ERA }) },
    apply: ({ era }, builder, position) => {
        builder.requireUnique("platform", "era", position);
        builder.platformEra = era;
    },
});
