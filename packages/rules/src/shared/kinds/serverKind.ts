/**
 * Rule kind `server`.
 *
 * @packageDocumentation
 */

import type { BackendServerId, DataCentreId, ServiceName } from "@magnolialock/kernel";
import { addressField, integerField, nameField, referenceField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

const MAX_LIMIT = 10_000;
const DEFAULT_QUEUE_LIMIT = 32;

/** Defines a backend server and its concurrency limits. */
export const serverKind = defineRuleKind({
    name: "server",
    summary: "Defines a backend server: its agent and its limits of concurrent calls, cold and warm.",
    example:
        "server redator-1 service=redator data-centre=recife agent=10.0.0.5:7100 cold=2 warm=16 # Ana: opening",
    defines: "server",
    positional: { name: nameField<BackendServerId>() },
    fields: {
        service: referenceField<ServiceName>("service"),
        "data-centre": referenceField<DataCentreId>("data-centre"),
        agent: addressField(),
        cold: integerField({ min: 1, max: MAX_LIMIT }),
        warm: integerField({ min: 1, max: MAX_LIMIT }),
        queue: integerField({ min: 0, max: MAX_LIMIT, defaultValue: DEFAULT_QUEUE_LIMIT }),
    },
    apply: (values, builder, position) => {
        if (values.cold > values.warm) {
            builder.report(
                position,
                `cold=${values.cold} is above warm=${values.warm}: a cold server handles fewer calls at once`,
            );
            return;
        }
        builder.requireUnique("agent address", values.agent, position);
        builder.servers.set(values.name, {
            name: values.name,
            service: values.service,
            dataCentre: values["data-centre"],
            agent: values.agent,
            coldLimit: values.cold,
            warmLimit: values.warm,
            queueLimit: values.queue,
        });
    },
});
