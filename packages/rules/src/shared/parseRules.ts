/**
 * Parser of the rule file. It is a pure function of the bytes, so every instance accepts or rejects the same revision.
 *
 * @packageDocumentation
 */

import { didYouMean, type Finding } from "@magnolialock/kernel";
import type { WordPlace } from "../types/definable.ts";
import type { RuleSet } from "../types/ruleSet.ts";
import { decodeLines } from "./decodeLines.ts";
import { type FieldDefinition, type RuleKind, ruleKinds } from "./ruleKind.ts";
import { RuleSetBuilder } from "./ruleSetBuilder.ts";

/** Outcome of parsing a rule file. */
export type ParsedRules =
    | { readonly kind: "accepted"; readonly rules: RuleSet; readonly lineCount: number; }
    | { readonly kind: "rejected"; readonly findings: readonly Finding[]; };

/** Options of {@link parseRules}. */
export interface ParseRulesOptions {
    /** Name of the file, for findings. */
    readonly source?: string;
}

/** Largest rule file, in bytes; the platform holds values up to a megabyte. */
export const MAX_RULES_BYTES = 1_048_576;

interface Word extends WordPlace {
    readonly text: string;
}

const splitWords = (text: string, line: number): Word[] =>
    [...text.matchAll(/\S+/g)].map(match => ({
        text: match[0],
        line,
        column: columnOf(text, match.index),
    }));

const columnOf = (text: string, index: number): number => [...text.slice(0, index)].length + 1;

const commentStart = (text: string): number => {
    const match = /(?:^|\s)#/.exec(text);
    return match ? match.index + match[0].length - 1 : -1;
};

const readField = (
    builder: RuleSetBuilder,
    field: FieldDefinition,
    text: string,
    place: WordPlace,
): unknown => {
    const result = field.parse(text);
    if (result.kind === "problem") {
        builder.report(place, result.message);
        return undefined;
    }
    if (field.references) {
        const names = Array.isArray(result.value) ? result.value as string[] : [String(result.value)];
        for (const name of names) {
            builder.refer(field.references, name, place);
        }
    }
    return result.value;
};

const readPositional = (
    kind: RuleKind,
    words: readonly Word[],
    values: Map<string, unknown>,
    builder: RuleSetBuilder,
) => {
    const names = Object.keys(kind.positional);
    for (const [index, name] of names.entries()) {
        const word = words[index + 1];
        const field = kind.positional[name] as FieldDefinition;
        if (!word) {
            const last = words[words.length - 1] as Word;
            builder.report(last, `${field.placeholder} is missing: write it like "${kind.example}"`);
            return;
        }
        values.set(name, readField(builder, field, word.text, word));
    }
};

const readNamed = (
    kind: RuleKind,
    words: readonly Word[],
    values: Map<string, unknown>,
    builder: RuleSetBuilder,
) => {
    for (const word of words) {
        const equals = word.text.indexOf("=");
        const key = equals < 0 ? word.text : word.text.slice(0, equals);
        const field = Object.hasOwn(kind.fields, key) ? kind.fields[key] : undefined;
        if (!field || equals < 0) {
            const keys = Object.keys(kind.fields);
            const known = keys.length === 0 ? "nothing more" : keys.map(name => `${name}=`).join(", ");
            builder.report(
                word,
                `unknown word "${word.text}"${didYouMean(key, keys)}: "${kind.name}" takes ${known}`,
            );
            continue;
        }
        if (values.has(key)) {
            builder.report(word, `"${key}=" stands twice: remove one of them`);
            continue;
        }
        const place = { line: word.line, column: word.column + equals + 1 };
        values.set(key, readField(builder, field, word.text.slice(equals + 1), place));
    }
};

const fillDefaults = (
    kind: RuleKind,
    start: Word,
    values: Map<string, unknown>,
    builder: RuleSetBuilder,
): void => {
    for (const [key, field] of Object.entries(kind.fields)) {
        if (values.has(key)) {
            continue;
        }
        if (field.defaultValue === undefined) {
            builder.report(start, `"${key}=" is missing: add ${key}=${field.placeholder}`);
        }
        values.set(key, field.defaultValue);
    }
};

const parseRule = (text: string, line: number, builder: RuleSetBuilder): void => {
    const words = splitWords(text, line);
    const [start] = words;
    if (!start) {
        return;
    }
    const kind = ruleKinds.find(start.text);
    if (!kind) {
        const known = ruleKinds.names();
        const hint = didYouMean(start.text, known);
        builder.report(start, `unknown rule "${start.text}"${hint}: a line starts with ${known.join(", ")}`);
        return;
    }
    const values = new Map<string, unknown>();
    const findingsBefore = builder.findings.length;
    readPositional(kind, words, values, builder);
    if (builder.findings.length === findingsBefore || words.length > Object.keys(kind.positional).length) {
        readNamed(kind, words.slice(Object.keys(kind.positional).length + 1), values, builder);
        fillDefaults(kind, start, values, builder);
    }
    const name = values.get(Object.keys(kind.positional)[0] ?? "");
    if (kind.defines && typeof name === "string") {
        builder.define(kind.defines, name, words[1] as Word);
    }
    if (builder.findings.length === findingsBefore) {
        kind.apply(Object.fromEntries(values) as never, builder, start);
    }
};

const parseLine = (text: string, line: number, builder: RuleSetBuilder): boolean => {
    const hash = commentStart(text);
    const rule = hash < 0 ? text : text.slice(0, hash);
    if (rule.trim() === "") {
        return false;
    }
    if (hash < 0) {
        builder.report(
            { line, column: columnOf(text, text.trimEnd().length) + 1 },
            'the comment is missing: end the line with "# " and the name of who asked for it',
        );
    }
    else if (!/\p{L}/u.test(text.slice(hash + 1))) {
        builder.report(
            { line, column: columnOf(text, hash) },
            "the comment is empty: name who asked for this line",
        );
    }
    parseRule(rule, line, builder);
    return true;
};

/**
 * Parses a rule file.
 *
 * @param bytes - content of the file
 * @param options - name of the file
 * @returns the rules, or all findings in the order of the file
 */
export const parseRules = (bytes: Uint8Array, options: ParseRulesOptions = {}): ParsedRules => {
    const source = options.source ?? "rules";
    const builder = new RuleSetBuilder(source);
    if (bytes.length > MAX_RULES_BYTES) {
        builder.report(
            { line: 1, column: 1 },
            `the file has ${bytes.length} bytes: keep it under ${MAX_RULES_BYTES}`,
        );
        return { kind: "rejected", findings: builder.findings };
    }
    let lineCount = 0;
    for (const [index, line] of decodeLines(bytes).entries()) {
        if (line.kind === "problem") {
            builder.report({ line: index + 1, column: line.column }, line.message);
            continue;
        }
        lineCount += parseLine(line.text, index + 1, builder) ? 1 : 0;
    }
    builder.checkReferences();
    if (builder.findings.length > 0) {
        const findings = [...builder.findings].sort((left, right) =>
            (left.line ?? 0) - (right.line ?? 0) || (left.column ?? 0) - (right.column ?? 0)
        );
        return { kind: "rejected", findings };
    }
    return { kind: "accepted", rules: builder.build(), lineCount };
};
