/**
 * Parser of scenario files.
 *
 * @packageDocumentation
 */

import type { Finding } from "@magnolialock/kernel";
import type { IToken } from "chevrotain";
import { LETREIRO_SHAPE } from "../fleet/fleetRules.ts";
import "./steps/index.ts";
import { DEFAULT_FLEET, fleetShapes } from "./fleetShapes.ts";
import { matchStep } from "./matchStep.ts";
import type { Scenario, ScenarioStep } from "./scenario.ts";
import { scenarioGrammar, type ScenarioLine } from "./scenarioGrammar.ts";
import type { ScenarioSettings } from "./scenarioSettings.ts";
import { parseDurationMs, scenarioLexer } from "./scenarioTokens.ts";

/** Result of parsing a scenario file. */
export type ParsedScenario =
    | { readonly kind: "accepted"; readonly scenario: Scenario; }
    | { readonly kind: "rejected"; readonly findings: readonly Finding[]; };

const DEFAULT_SEED = 1;
const LINE_SYNTAX_MESSAGE =
    'start the line with a step, or with a time as in "at 3 s take data centre recife out"';

const createFindingAt = (source: string, token: IToken | undefined, message: string): Finding => ({
    source,
    line: token && Number.isFinite(token.startLine) ? token.startLine : 1,
    column: token && Number.isFinite(token.startColumn) ? token.startColumn : 1,
    message,
});

interface ParsedLines {
    readonly lines: readonly ScenarioLine[];
    readonly findings: readonly Finding[];
}

/** Parses the lines of a file; lines with a finding are left out. */
const parseLines = (text: string, source: string): ParsedLines => {
    const { tokens, errors } = scenarioLexer.tokenize(text);
    scenarioGrammar.input = tokens;
    const lines = scenarioGrammar.file() ?? [];
    const findings = [
        ...errors.map(error => ({
            source,
            line: error.line ?? 1,
            column: error.column ?? 1,
            message: "unexpected character: a step consists of words, numbers and times only",
        })),
        ...scenarioGrammar.errors.map(error => {
            const { token, previousToken } = error as typeof error & { readonly previousToken?: IToken; };
            const errorToken = Number.isFinite(token.startLine) ? token : previousToken;
            return createFindingAt(source, errorToken, LINE_SYNTAX_MESSAGE);
        }),
    ];
    const invalidLines = new Set(findings.map(finding => finding.line));
    const isValid = (line: ScenarioLine | undefined): boolean =>
        line !== undefined && line.words.length > 0 && !invalidLines.has(line.words[0]?.startLine);
    return { lines: lines.filter(isValid), findings };
};

/** Returns the name of the fleet in the file, whose servers and data centres are the valid names in steps. */
const findFleetName = (lines: readonly ScenarioLine[]): string =>
    lines.find(({ words }) => words[0]?.image === "fleet")?.words[1]?.image ?? DEFAULT_FLEET;

/** Returns the step's own time or that of the previous step; an untimed expectation waits for the end. */
const resolveTimeMs = (line: ScenarioLine, kind: string, previousMs: number): number | undefined => {
    if (line.time) {
        return parseDurationMs(line.time.image);
    }
    return kind === "expectation" ? undefined : previousMs;
};

/**
 * Parses a scenario file.
 *
 * @param text - content of the file
 * @param source - name of the file, for findings
 * @returns the scenario, or all findings in the order of their lines
 */
export const parseScenario = (text: string, source: string): ParsedScenario => {
    const { lines, findings: lineFindings } = parseLines(text, source);
    const shape = fleetShapes[findFleetName(lines)] ?? LETREIRO_SHAPE;
    const findings: Finding[] = [...lineFindings];
    const settings: ScenarioSettings = { fleet: DEFAULT_FLEET, seed: DEFAULT_SEED, durationMs: undefined };
    const parsedSteps: ScenarioStep[] = [];
    let previousMs = 0;
    for (const line of lines) {
        const matched = matchStep(line.words, shape);
        if (matched.kind === "problem") {
            findings.push(createFindingAt(source, matched.token, matched.message));
            continue;
        }
        const { step, args } = matched;
        if (step.effect.kind === "setting") {
            step.effect.apply(settings, args as never);
            continue;
        }
        const atMs = resolveTimeMs(line, step.effect.kind, previousMs);
        previousMs = atMs ?? previousMs;
        const firstWord = line.words[0] as IToken;
        parsedSteps.push({ step, args, atMs, line: firstWord.startLine ?? 1, text: formatLine(line) });
    }
    if (findings.length > 0) {
        const sorted = findings.sort((left, right) =>
            (left.line ?? 0) - (right.line ?? 0) || (left.column ?? 0) - (right.column ?? 0)
        );
        return { kind: "rejected", findings: sorted };
    }
    return { kind: "accepted", scenario: { source, settings, steps: parsedSteps } };
};

const formatLine = (line: ScenarioLine): string =>
    [...(line.time ? ["at", line.time.image] : []), ...line.words.map(word => word.image)].join(" ");
