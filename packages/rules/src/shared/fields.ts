/**
 * Field types that the rule kinds share.
 *
 * @packageDocumentation
 */

import { type Address, branded, isAddress } from "@magnolialock/kernel";
import type { DefinableKind } from "../types/definable.ts";
import type { FieldDefinition, FieldResult } from "./ruleKind.ts";

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const MILLISECONDS_PER_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };

const value = <T>(result: T): FieldResult<T> => ({ kind: "value", value: result });
const problem = (message: string): FieldResult<never> => ({ kind: "problem", message });

const parseName = <T extends string>(text: string): FieldResult<T> =>
    NAME_PATTERN.test(text)
        ? value(text as T)
        : problem(`"${text}" is not a name: use lower-case letters, digits and "-", starting with a letter`);

/**
 * Defines a field for the name that the rule defines.
 *
 * @returns the field
 */
export const nameField = <T extends string>(): FieldDefinition<T> => ({
    placeholder: "NAME",
    parse: parseName<T>,
});

/**
 * Defines a field for a name that another rule defines.
 *
 * @param kind - kind of thing that the name refers to
 * @returns the field
 */
export const referenceField = <T extends string>(kind: DefinableKind): FieldDefinition<T> => ({
    placeholder: kind.toUpperCase(),
    parse: parseName<T>,
    references: kind,
});

/**
 * Defines a field for a comma-separated list of names that other rules define.
 *
 * @param kind - kind of thing that the names refer to
 * @returns the field
 */
export const referenceListField = <T extends string>(kind: DefinableKind): FieldDefinition<readonly T[]> => ({
    placeholder: `${kind.toUpperCase()},…`,
    references: kind,
    parse: text => {
        const names = text.split(",");
        const invalid = names.find(name => !NAME_PATTERN.test(name));
        if (invalid !== undefined) {
            return problem(`"${invalid}" is not a name: separate names with commas, without spaces`);
        }
        if (new Set(names).size < names.length) {
            return problem("a name is listed twice: remove one of them");
        }
        return value(names as T[]);
    },
});

/**
 * Defines a field for a non-negative integer within bounds.
 *
 * @param options - inclusive bounds and default
 * @returns the field
 */
export const integerField = (
    options: { readonly min: number; readonly max: number; readonly defaultValue?: number; },
): FieldDefinition<number> => ({
    placeholder: "N",
    ...(options.defaultValue === undefined ? {} : { defaultValue: options.defaultValue }),
    parse: text => {
        if (!/^\d{1,15}$/.test(text)) {
            return problem(`"${text}" is not a whole number: write digits only`);
        }
        const number = Number(text);
        return number < options.min || number > options.max
            ? problem(`${text} is out of range: use ${options.min} to ${options.max}`)
            : value(number);
    },
});

/**
 * Defines a field for a duration, written with its unit.
 *
 * @param options - inclusive bounds and default, in milliseconds
 * @returns the field, in milliseconds
 */
export const durationField = (
    options: { readonly minMs: number; readonly maxMs: number; readonly defaultValueMs?: number; },
): FieldDefinition<number> => ({
    placeholder: "30s",
    ...(options.defaultValueMs === undefined ? {} : { defaultValue: options.defaultValueMs }),
    parse: text => {
        const match = /^(\d{1,9})(ms|s|m|h)$/.exec(text);
        if (!match) {
            return problem(`"${text}" is not a duration: write a whole number with ms, s, m or h, like 30s`);
        }
        const durationMs = Number(match[1]) * (MILLISECONDS_PER_UNIT[match[2] ?? ""] ?? Number.NaN);
        return durationMs < options.minMs || durationMs > options.maxMs
            ? problem(`${text} is out of range: use ${options.minMs}ms to ${options.maxMs}ms`)
            : value(durationMs);
    },
});

/**
 * Defines a field for a rate per second.
 *
 * @param options - inclusive bounds
 * @returns the field, per second
 */
export const rateField = (
    options: { readonly min: number; readonly max: number; },
): FieldDefinition<number> => ({
    placeholder: "20/s",
    parse: text => {
        const match = /^(\d{1,9})\/s$/.exec(text);
        if (!match) {
            return problem(`"${text}" is not a rate: write a whole number with /s, like 20/s`);
        }
        const rate = Number(match[1]);
        return rate < options.min || rate > options.max
            ? problem(`${text} is out of range: use ${options.min}/s to ${options.max}/s`)
            : value(rate);
    },
});

/**
 * Defines a field that takes one of a list of values.
 *
 * @param choices - the allowed values
 * @returns the field
 */
export const choiceField = <const T extends string>(choices: readonly T[]): FieldDefinition<T> => ({
    placeholder: choices.join("|"),
    parse: text => {
        const choice = choices.find(candidate => candidate === text);
        return choice === undefined
            ? problem(`"${text}" is unknown: use ${choices.join(" or ")}`)
            : value(choice);
    },
});

/**
 * Defines a field for an IP address with a port.
 *
 * @returns the field
 */
export const addressField = (): FieldDefinition<Address> => ({
    placeholder: "IP:PORT",
    parse: text =>
        isAddress(text)
            ? value(branded<Address>(text))
            : problem(`"${text}" is not an address: write an IP address and a port, like 10.0.0.5:7100`),
});

/**
 * Defines a field for a text that matches a pattern.
 *
 * @param options - pattern, placeholder, and advice for a text that does not match
 * @returns the field
 */
export const patternField = (
    options: { readonly pattern: RegExp; readonly placeholder: string; readonly advice: string; },
): FieldDefinition<string> => ({
    placeholder: options.placeholder,
    parse: text =>
        options.pattern.test(text) ? value(text) : problem(`"${text}" is invalid: ${options.advice}`),
});
