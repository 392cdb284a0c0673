/**
 * Tokens of the scenario language.
 *
 * @packageDocumentation
 */

import { createToken, Lexer } from "chevrotain";

const WhiteSpace = createToken({ name: "WhiteSpace", pattern: /[ \t\r]+/, group: Lexer.SKIPPED });
const Comment = createToken({ name: "Comment", pattern: /#[^\n]*/, group: Lexer.SKIPPED });

/** End of a line. */
export const NewLine = createToken({ name: "NewLine", pattern: /\n/, label: "end of line" });

/** A name or a word of a step. */
export const Word = createToken({ name: "Word", pattern: /[A-Za-z][A-Za-z0-9_-]*/, label: "word" });

/** Keyword before the time of a step. */
export const At = createToken({ name: "At", pattern: /at/, longer_alt: Word, label: '"at"' });

/** A number with a unit of time. */
export const Duration = createToken({
    name: "Duration",
    pattern: /\d+(?:\.\d+)?[ \t]*(?:ms|min|s|h)\b/,
    label: 'time such as "3 s"',
});

/** A number without a unit. */
export const Quantity = createToken({ name: "Quantity", pattern: /\d+(?:\.\d+)?/, label: "number" });

/** All token types. The lexer takes the first match, so the more specific ones come first. */
export const scenarioTokens = [WhiteSpace, Comment, NewLine, Duration, Quantity, At, Word];

/** Splits a scenario file into tokens. */
export const scenarioLexer = new Lexer(scenarioTokens, { positionTracking: "full" });

const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 };

/**
 * Parses a duration such as `3 s`.
 *
 * @param text - text of a duration token
 * @returns duration, in milliseconds
 */
export const parseDurationMs = (text: string): number => {
    const [, number = "0", unit = "ms"] = /^([\d.]+)\s*([a-z]+)$/.exec(text) ?? [];
    return Number(number) * (UNIT_MS[unit] ?? 1);
};
