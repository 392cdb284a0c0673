/**
 * Rule kind `data-centre`.
 *
 * @packageDocumentation
 */

import type { DataCentreId } from "@magnolialock/kernel";
import { nameField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

/** Defines a data centre. */
export const dataCentreKind = defineRuleKind({
    name: "data-centre",
    summary: "Defines a data centre and its region.",
    example: "data-centre recife region=nordeste # Ana: opening",
    defines: "data-centre",
    positional: { name: nameField<DataCentreId>() },
    fields: { region: nameField<string>() },
    apply: ({ name, region }, builder) => {
        builder.dataCentres.set(name, { name, region });
    },
});
