/**
 * Rule kind `group`.
 *
 * @packageDocumentation
 */

import type { BackendServerId, GroupName, ServiceName } from "@magnolialock/kernel";
import { integerField, nameField, referenceField, referenceListField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

const MAX_EXPERTS = 1_024;
const MAX_LAYERS = 512;

/** Defines a group of ranks, which run their steps in lock-step. */
export const groupKind = defineRuleKind({
    name: "group",
    summary:
        "Defines a group of ranks: its backend servers in rank order, its experts, layers and expert slots.",
    example:
        "group g1 service=redator servers=redator-1,redator-2 experts=128 layers=58 slots=80 # Ana: group",
    defines: "group",
    positional: { name: nameField<GroupName>() },
    fields: {
        service: referenceField<ServiceName>("service"),
        servers: referenceListField<BackendServerId>("server"),
        experts: integerField({ min: 1, max: MAX_EXPERTS }),
        layers: integerField({ min: 1, max: MAX_LAYERS }),
        slots: integerField({ min: 1, max: MAX_EXPERTS }),
    },
    apply: ({ name, service, servers, experts, layers, slots }, builder, position) => {
        if (slots * servers.length < experts) {
            builder.report(
                position,
                `${servers.length} ranks with slots=${slots} cannot hold ${experts} experts: raise slots`,
            );
            return;
        }
        builder.groups.set(name, { name, service, servers, experts, layers, slotsPerRank: slots });
    },
});
