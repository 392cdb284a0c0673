/**
 * Rule kind `out`.
 *
 * @packageDocumentation
 */

import type { DataCentreId } from "@magnolialock/kernel";
import { referenceField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

/** Takes a data centre out of service; removing the line returns it to service. */
export const outKind = defineRuleKind({
    name: "out",
    summary:
        "Takes a data centre out of service: it gets no new work. Remove the line to return it to service.",
    example: "out recife # Ana: power work until 14:00",
    positional: { dataCentre: referenceField<DataCentreId>("data-centre") },
    fields: {},
    apply: ({ dataCentre }, builder, position) => {
        builder.requireUnique("out", dataCentre, position);
        builder.outDataCentres.add(dataCentre);
    },
});
