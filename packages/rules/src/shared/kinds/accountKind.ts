/**
 * Rule kind `account`.
 *
 * @packageDocumentation
 */

import type { ClientAccountId } from "@magnolialock/kernel";
import { integerField, nameField, patternField, rateField } from "../fields.ts";
import { defineRuleKind } from "../ruleKind.ts";

const MAX_RATE = 1_000_000;
const DEFAULT_BURST = 10;
const MAX_WEIGHT = 1_000;

/** Defines a client account. */
export const accountKind = defineRuleKind({
    name: "account",
    summary: "Defines a client account: the hash of its API key, its rate across all entries and its weight.",
    example: "account loja-1 key=sha256:<64 hexadecimal digits> rate=20/s weight=2 # Ana: new customer",
    defines: "account",
    positional: { name: nameField<ClientAccountId>() },
    fields: {
        key: patternField({
            pattern: /^sha256:[0-9a-f]{64}$/,
            placeholder: "sha256:…",
            advice: "write sha256: and the 64 hexadecimal digits of the key's SHA-256",
        }),
        rate: rateField({ min: 1, max: MAX_RATE }),
        burst: integerField({ min: 1, max: MAX_RATE, defaultValue: DEFAULT_BURST }),
        weight: integerField({ min: 1, max: MAX_WEIGHT, defaultValue: 1 }),
    },
    apply: ({ name, key, rate, burst, weight }, builder, position) => {
        builder.requireUnique("the key", key, position);
        builder.accounts.set(name, {
            name,
            keyHash: key.slice("sha256:".length),
            ratePerS: rate,
            burst,
            weight,
        });
    },
});
