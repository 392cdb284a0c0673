/**
 * Matching of the lines of a scenario against the patterns of the steps.
 *
 * @packageDocumentation
 */

import { didYouMean } from "@magnolialock/kernel";
import type { IToken } from "chevrotain";
import type { FleetShape } from "../fleet/fleetRules.ts";
import { Duration, parseDurationMs, Quantity } from "./scenarioTokens.ts";
import { resolveName, SLOT_KINDS, type SlotName, type SlotResult } from "./slots.ts";
import { describePattern, type Step, steps } from "./step.ts";

/** The step of a line with its argument values, or an error message with the token that it refers to. */
export type StepMatch =
    | {
        readonly kind: "step";
        readonly step: Step;
        readonly args: Readonly<Record<string, string | number>>;
    }
    | { readonly kind: "problem"; readonly token: IToken; readonly message: string; };

const parseSlotName = (part: string): SlotName | undefined => {
    const name = /^<(\w+)>$/.exec(part)?.[1];
    return name !== undefined && name in SLOT_KINDS ? name as SlotName : undefined;
};

const matchesSlot = (slot: SlotName, token: IToken): boolean => {
    const kind = SLOT_KINDS[slot];
    if (kind === "duration" || token.tokenType === Duration) {
        return kind === "duration" && token.tokenType === Duration;
    }
    return kind !== "number" || token.tokenType === Quantity;
};

/** Returns how many words at the start of a line match a pattern. */
const countMatchingWords = (parts: readonly string[], words: readonly IToken[]): number => {
    const firstMismatch = parts.findIndex((part, index) => {
        const word = words[index];
        const slot = parseSlotName(part);
        return !word || (slot ? !matchesSlot(slot, word) : part !== word.image);
    });
    return firstMismatch < 0 ? parts.length : firstMismatch;
};

const parseSlotValue = (slot: SlotName, token: IToken, shape: FleetShape): SlotResult => {
    const kind = SLOT_KINDS[slot];
    switch (kind) {
        case "duration":
            return { kind: "value", value: parseDurationMs(token.image) };
        case "number":
            return { kind: "value", value: Number(token.image) };
        case "backend server":
        case "data centre":
        case "entry":
        case "fleet":
        case "name":
            return resolveName(kind, token.image, shape);
    }
};

const parseArguments = (step: Step, words: readonly IToken[], shape: FleetShape): StepMatch => {
    const args: Record<string, string | number> = {};
    for (const [index, part] of step.name.split(" ").entries()) {
        const slot = parseSlotName(part);
        const token = words[index] as IToken;
        if (!slot) {
            continue;
        }
        const result = parseSlotValue(slot, token, shape);
        if (result.kind === "problem") {
            return { kind: "problem", token, message: result.message };
        }
        args[slot] = result.value;
    }
    return { kind: "step", step, args };
};

/** Describes the first word that does not match the most similar steps, and their patterns. */
const describeMismatch = (words: readonly IToken[]): StepMatch => {
    const ranked = steps.all()
        .map(step => ({ step, matching: countMatchingWords(step.name.split(" "), words) }))
        .sort((left, right) => right.matching - left.matching);
    const [best] = ranked;
    const token = words[Math.min(best?.matching ?? 0, words.length - 1)] as IToken;
    if (!best || best.matching === 0) {
        const firstWords = [...new Set(steps.names().map(name => name.split(" ")[0] as string))];
        const hint = didYouMean(token.image, firstWords);
        return {
            kind: "problem",
            token,
            message: `unknown step${hint}: a step starts with ${firstWords.join(", ")}`,
        };
    }
    const patterns = ranked.filter(({ matching }) => matching === best.matching).map(({ step }) =>
        `"${describePattern(step)}"`
    );
    return { kind: "problem", token, message: `write it like ${patterns.join(" or ")}` };
};

/**
 * Finds the step that a line matches and resolves its arguments.
 *
 * @param words - words, numbers and times of the line
 * @param shape - fleet that the scenario runs on
 * @returns the step with its argument values, or an error message
 */
export const matchStep = (words: readonly IToken[], shape: FleetShape): StepMatch => {
    const step = steps.all().find(candidate => {
        const parts = candidate.name.split(" ");
        return parts.length === words.length && countMatchingWords(parts, words) === parts.length;
    });
    return step ? parseArguments(step, words, shape) : describeMismatch(words);
};
