/**
 * Parser of the rule file. It is a pure function of the file's bytes, so all instances agree on whether a
 * revision is accepted or rejected.
 *
 * @packageDocumentation
 */

import { didYouMean, type Finding } from "@magnolialock/kernel";
import type { SourcePosition } from "../types/definable.ts";
import type { RuleSet } from "../types/ruleSet.ts";
import { decodeLines } from "./decodeLines.ts";
import { type FieldDefinition, type RuleKind, ruleKinds } from "./ruleKind.ts";
import { RuleSetBuilder } from "./ruleSetBuilder.ts";

/**
 * Result of parsing a rule file; `lineCount` counts the lines that hold a rule, and `platformEra` is the era of the
 * platform that the file states, 0 by default.
 */
export type ParsedRules =
    & { readonly platformEra: number; }
    & (
        | { readonly kind: "accepted"; readonly rules: RuleSet; readonly lineCount: number; }
        | { readonly kind: "rejected"; readonly findings: readonly Finding[]; }
    );

/** Options of {@link parseRules}. */
export interface ParseRulesOptions {
    /** Name of the file, for findings. */
    readonly source?: string;
}

/** Largest rule file, in bytes; the platform stores values of up to a megabyte. */
export const MAX_RULES_BYTES = 1_048_576;

const ASCII_PATTERN = /^[\x20-\x7e]*$/;

interface Token extends SourcePosition {
    readonly text: string;
}

const tokenize = (text: string, line: number): Token[] => {
    const tokens: Token[] = [];
    for (const match of text.matchAll(/\S+/g)) {
        tokens.push({ text: match[0], line, column: columnOf(text, match.index) });
    }
    return tokens;
};

/** Counts characters, not UTF-16 code units. Most lines are ASCII, where both counts are equal. */
const columnOf = (text: string, index: number): number => {
    const before = text.slice(0, index);
    return (ASCII_PATTERN.test(before) ? index : [...before].length) + 1;
};

const findCommentStart = (text: string): number => {
    const match = /(?:^|\s)#/.exec(text);
    return match ? match.index + match[0].length - 1 : -1;
};

const parseField = (
    builder: RuleSetBuilder,
    field: FieldDefinition,
    text: string,
    position: SourcePosition,
): unknown => {
    const result = field.parse(text);
    if (result.kind === "problem") {
        builder.report(position, result.message);
        return undefined;
    }
    if (field.references) {
        const names = Array.isArray(result.value) ? result.value as string[] : [String(result.value)];
        for (const name of names) {
            builder.addReference(field.references, name, position);
        }
    }
    return result.value;
};

/** Values of one rule by field; a field with a finding has the value `undefined`. */
type RuleValues = Record<string, unknown>;

/** Fields of a rule kind as lists, computed once per kind. */
interface FieldLists {
    readonly positional: readonly (readonly [name: string, field: FieldDefinition])[];
    readonly named: readonly (readonly [name: string, field: FieldDefinition])[];
}

const fieldListsByKind = new WeakMap<RuleKind, FieldLists>();

const fieldListsOf = (kind: RuleKind): FieldLists => {
    const cached = fieldListsByKind.get(kind);
    if (cached) {
        return cached;
    }
    const lists = { positional: Object.entries(kind.positional), named: Object.entries(kind.fields) };
    fieldListsByKind.set(kind, lists);
    return lists;
};

/** Parses the positional fields; returns whether all of them are present. */
const parsePositionalFields = (
    kind: RuleKind,
    tokens: readonly Token[],
    values: RuleValues,
    builder: RuleSetBuilder,
): boolean => {
    let index = 1;
    for (const [name, field] of fieldListsOf(kind).positional) {
        const token = tokens[index];
        if (!token) {
            const last = tokens[tokens.length - 1] as Token;
            builder.report(last, `${field.placeholder} is missing: write it like "${kind.example}"`);
            return false;
        }
        values[name] = parseField(builder, field, token.text, token);
        index++;
    }
    return true;
};

const parseNamedField = (kind: RuleKind, token: Token, values: RuleValues, builder: RuleSetBuilder): void => {
    const equals = token.text.indexOf("=");
    const key = equals < 0 ? token.text : token.text.slice(0, equals);
    const field = Object.hasOwn(kind.fields, key) ? kind.fields[key] : undefined;
    if (!field || equals < 0) {
        const keys = Object.keys(kind.fields);
        const expected = keys.length === 0 ? "nothing more" : keys.map(name => `${name}=`).join(", ");
        builder.report(
            token,
            `unknown field "${token.text}"${didYouMean(key, keys)}: "${kind.name}" takes ${expected}`,
        );
        return;
    }
    if (key in values) {
        builder.report(token, `"${key}=" is given twice: remove one of them`);
        return;
    }
    const valuePosition = { line: token.line, column: token.column + equals + 1 };
    values[key] = parseField(builder, field, token.text.slice(equals + 1), valuePosition);
};

const applyDefaults = (kind: RuleKind, keyword: Token, values: RuleValues, builder: RuleSetBuilder): void => {
    for (const [key, field] of fieldListsOf(kind).named) {
        if (key in values) {
            continue;
        }
        if (field.defaultValue === undefined) {
            builder.report(keyword, `"${key}=" is missing: add ${key}=${field.placeholder}`);
        }
        values[key] = field.defaultValue;
    }
};

const parseRuleOfKind = (kind: RuleKind, tokens: readonly Token[], builder: RuleSetBuilder): void => {
    const keyword = tokens[0] as Token;
    const { positional } = fieldListsOf(kind);
    const values: RuleValues = {};
    const findingsBefore = builder.findings.length;
    if (parsePositionalFields(kind, tokens, values, builder)) {
        for (let index = positional.length + 1; index < tokens.length; index++) {
            parseNamedField(kind, tokens[index] as Token, values, builder);
        }
        applyDefaults(kind, keyword, values, builder);
    }
    const name = values[positional[0]?.[0] ?? ""];
    if (kind.defines && typeof name === "string") {
        builder.addDefinition(kind.defines, name, tokens[1] as Token);
    }
    if (builder.findings.length === findingsBefore) {
        kind.apply(values as never, builder, keyword);
    }
};

const parseRule = (text: string, line: number, builder: RuleSetBuilder): void => {
    const tokens = tokenize(text, line);
    const [keyword] = tokens;
    if (!keyword) {
        return;
    }
    const kind = ruleKinds.find(keyword.text);
    if (kind) {
        parseRuleOfKind(kind, tokens, builder);
        return;
    }
    const keywords = ruleKinds.names();
    const hint = didYouMean(keyword.text, keywords);
    builder.report(
        keyword,
        `unknown rule "${keyword.text}"${hint}: a line starts with ${keywords.join(", ")}`,
    );
};

const parseLine = (text: string, line: number, builder: RuleSetBuilder): boolean => {
    const hashIndex = findCommentStart(text);
    const ruleText = hashIndex < 0 ? text : text.slice(0, hashIndex);
    if (ruleText.trim() === "") {
        return false;
    }
    if (hashIndex < 0) {
        builder.report(
            { line, column: columnOf(text, text.trimEnd().length) },
            'the comment is missing: end the line with "# " and the name of who asked for it',
        );
    }
    else if (!/\p{L}/u.test(text.slice(hashIndex + 1))) {
        builder.report(
            { line, column: columnOf(text, hashIndex) },
            "the comment is empty: name who asked for this line",
        );
    }
    parseRule(ruleText, line, builder);
    return true;
};

/**
 * Parses a rule file.
 *
 * @param bytes - content of the file
 * @param options - name of the file, for findings
 * @returns the rules, or all findings sorted by their position in the file
 */
export const parseRules = (bytes: Uint8Array, options: ParseRulesOptions = {}): ParsedRules => {
    const source = options.source ?? "rules";
    const builder = new RuleSetBuilder(source);
    if (bytes.length > MAX_RULES_BYTES) {
        builder.report(
            { line: 1, column: 1 },
            `the file has ${bytes.length} bytes: keep it under ${MAX_RULES_BYTES}`,
        );
        return { kind: "rejected", platformEra: 0, findings: builder.findings };
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
        return { kind: "rejected", platformEra: builder.platformEra, findings };
    }
    return { kind: "accepted", platformEra: builder.platformEra, rules: builder.build(), lineCount };
};
