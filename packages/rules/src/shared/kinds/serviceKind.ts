/**
 * Rule kind `service`.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import { choiceField, durationField, nameField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

const MAX_DEADLINE_MS = 3_600_000;
const DEFAULT_DEADLINE_MS = 30_000;
const MAX_WARM_TIME_MS = 60_000;
/** Default of `warm-time`, which means that the rule does not give one. */
const WARM_TIME_UNKNOWN_MS = 0;

/** Defines a service that callers use. */
export const serviceKind = defineRuleKind({
    name: "service",
    summary: "Defines a service; callers reach it by its name, the first segment of the path.",
    example: "service redator kind=model deadline=60s warm-time=40ms # Ana: drafts",
    defines: "service",
    positional: { name: nameField<ServiceName>() },
    fields: {
        kind: choiceField(["model", "plain"]),
        deadline: durationField({ minMs: 1, maxMs: MAX_DEADLINE_MS, defaultValueMs: DEFAULT_DEADLINE_MS }),
        "warm-time": durationField({
            minMs: 1,
            maxMs: MAX_WARM_TIME_MS,
            defaultValueMs: WARM_TIME_UNKNOWN_MS,
        }),
    },
    apply: ({ name, kind, deadline, "warm-time": warmTime }, builder) => {
        const warmTimeMs = warmTime === WARM_TIME_UNKNOWN_MS ? undefined : warmTime;
        builder.services.set(name, { name, kind, deadlineMs: deadline, warmTimeMs });
    },
});
