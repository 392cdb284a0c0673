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

const ASCII_PATTERN = /^[\x20-\x7e]*$/;

interface Word extends WordPlace {
    readonly text: string;
}

const splitWords = (text: string, line: number): Word[] => {
    const words: Word[] = [];
    for (const match of text.matchAll(/\S+/g)) {
        words.push({ text: match[0], line, column: columnOf(text, match.index) });
    }
    return words;
};

/** Counts characters, not UTF-16 units; most lines are ASCII, where the two are the same. */
const columnOf = (text: string, index: number): number => {
    const before = text.slice(0, index);
    return (ASCII_PATTERN.test(before) ? index : [...before].length) + 1;
};

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

/** Values of one rule by field; `undefined` stands for a field that has a finding. */
type RuleValues = Record<string, unknown>;

/** Fields of a rule kind as lists, made once for each kind. */
interface FieldLists {
    readonly positional: readonly (readonly [name: string, field: FieldDefinition])[];
    readonly named: readonly (readonly [name: string, field: FieldDefinition])[];
}

const fieldLists = new WeakMap<RuleKind, FieldLists>();

const listFields = (kind: RuleKind): FieldLists => {
    const known = fieldLists.get(kind);
    if (known) {
        return known;
    }
    const lists = { positional: Object.entries(kind.positional), named: Object.entries(kind.fields) };
    fieldLists.set(kind, lists);
    return lists;
};

/** Reads the fields by position; returns whether all are there. */
const readPositional = (
    kind: RuleKind,
    words: readonly Word[],
    values: RuleValues,
    builder: RuleSetBuilder,
): boolean => {
    let index = 1;
    for (const [name, field] of listFields(kind).positional) {
        const word = words[index];
        if (!word) {
            const last = words[words.length - 1] as Word;
            builder.report(last, `${field.placeholder} is missing: write it like "${kind.example}"`);
            return false;
        }
        values[name] = readField(builder, field, word.text, word);
        index++;
    }
    return true;
};

const readNamed = (kind: RuleKind, word: Word, values: RuleValues, builder: RuleSetBuilder): void => {
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
        return;
    }
    if (key in values) {
        builder.report(word, `"${key}=" stands twice: remove one of them`);
        return;
    }
    const place = { line: word.line, column: word.column + equals + 1 };
    values[key] = readField(builder, field, word.text.slice(equals + 1), place);
};

const fillDefaults = (kind: RuleKind, start: Word, values: RuleValues, builder: RuleSetBuilder): void => {
    for (const [key, field] of listFields(kind).named) {
        if (key in values) {
            continue;
        }
        if (field.defaultValue === undefined) {
            builder.report(start, `"${key}=" is missing: add ${key}=${field.placeholder}`);
        }
        values[key] = field.defaultValue;
    }
};

const readRule = (kind: RuleKind, words: readonly Word[], builder: RuleSetBuilder): void => {
    const start = words[0] as Word;
    const { positional } = listFields(kind);
    const values: RuleValues = {};
    const findingsBefore = builder.findings.length;
    if (readPositional(kind, words, values, builder)) {
        for (let index = positional.length + 1; index < words.length; index++) {
            readNamed(kind, words[index] as Word, values, builder);
        }
        fillDefaults(kind, start, values, builder);
    }
    const name = values[positional[0]?.[0] ?? ""];
    if (kind.defines && typeof name === "string") {
        builder.define(kind.defines, name, words[1] as Word);
    }
    if (builder.findings.length === findingsBefore) {
        kind.apply(values as never, builder, start);
    }
};

const parseRule = (text: string, line: number, builder: RuleSetBuilder): void => {
    const words = splitWords(text, line);
    const [start] = words;
    if (!start) {
        return;
    }
    const kind = ruleKinds.find(start.text);
    if (kind) {
        readRule(kind, words, builder);
        return;
    }
    const known = ruleKinds.names();
    const hint = didYouMean(start.text, known);
    builder.report(start, `unknown rule "${start.text}"${hint}: a line starts with ${known.join(", ")}`);
};

const parseLine = (text: string, line: number, builder: RuleSetBuilder): boolean => {
    const hash = commentStart(text);
    const rule = hash < 0 ? text : text.slice(0, hash);
    if (rule.trim() === "") {
        return false;
    }
    if (hash < 0) {
        builder.report(
            { line, column: columnOf(text, text.trimEnd().length) },
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
