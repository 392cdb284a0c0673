/**
 * Slots of steps: the places in a step's pattern where a name, a number or a time stands.
 *
 * @packageDocumentation
 */

import { match } from "ts-pattern";
import { fleetEntryNames, fleetServers, type FleetShape } from "../fleet/fleetRules.ts";
import { fleetShapes } from "./fleetShapes.ts";

/** What stands in each slot, by the slot's name. */
export const SLOT_KINDS = {
    afterMs: "duration",
    count: "number",
    dataCentre: "data centre",
    durationMs: "duration",
    entry: "entry",
    fleet: "fleet",
    otherDataCentre: "data centre",
    percent: "number",
    perSecond: "number",
    policy: "name",
    request: "name",
    revision: "number",
    seed: "number",
    server: "backend server",
    tokens: "number",
    untilMs: "duration",
} as const;

/** Name of a slot. */
export type SlotName = keyof typeof SLOT_KINDS;

/** What stands in a slot. */
export type SlotKind = typeof SLOT_KINDS[SlotName];

/** Type of the value in a slot. */
export type SlotValue<N extends SlotName> = typeof SLOT_KINDS[N] extends "duration" | "number" ? number
    : string;

/** Slots of a pattern such as `pause entry <entry> for <durationMs>`. */
export type SlotsOf<P extends string> = P extends `${string}<${infer N}>${infer Rest}`
    ? (N extends SlotName ? N : never) | SlotsOf<Rest>
    : never;

/** Values of the slots of a pattern. */
export type StepArguments<P extends string> = { readonly [N in SlotsOf<P>]: SlotValue<N>; };

/**
 * Says what stands in a slot.
 *
 * @param slot - its name
 * @returns for example `time`
 */
export const describeSlot = (slot: string): string => {
    const kind = slot in SLOT_KINDS ? SLOT_KINDS[slot as SlotName] : slot;
    return kind === "duration" ? "time" : kind;
};

/** A value, or what is wrong with the text. */
export type SlotResult =
    | { readonly kind: "value"; readonly value: string | number; }
    | { readonly kind: "problem"; readonly message: string; };

const requireOneOf = (what: string, text: string, names: readonly string[]): SlotResult =>
    names.includes(text)
        ? { kind: "value", value: text }
        : { kind: "problem", message: `unknown ${what} "${text}": use one of ${names.join(", ")}` };

const resolveEntry = (text: string, names: readonly string[]): SlotResult => {
    const name = names[Number(text) - 1];
    return name === undefined ? requireOneOf("entry", text, names) : { kind: "value", value: name };
};

/**
 * Resolves the name in a slot.
 *
 * @param kind - what stands in the slot
 * @param text - its text
 * @param shape - fleet that the scenario runs on
 * @returns the value, or what is wrong
 */
export const resolveName = (
    kind: Exclude<SlotKind, "duration" | "number">,
    text: string,
    shape: FleetShape,
): SlotResult =>
    match(kind)
        .with("data centre", () => requireOneOf("data centre", text, shape.dataCentres))
        .with("backend server", () =>
            requireOneOf("backend server", text, fleetServers(shape).map(server => server.name)))
        .with("entry", () =>
            resolveEntry(text, fleetEntryNames(shape)))
        .with("fleet", () => requireOneOf("fleet", text, Object.keys(fleetShapes)))
        .with("name", (): SlotResult => ({ kind: "value", value: text }))
        .exhaustive();
