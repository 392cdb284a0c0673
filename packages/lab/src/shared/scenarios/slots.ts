/**
 * Slots: the typed parameters in the pattern of a step, each a name, a number or a time.
 *
 * @packageDocumentation
 */

import { match } from "ts-pattern";
import { type FleetShape, listFleetEntryNames, listFleetServers } from "../fleet/fleetRules.ts";
import { fleetShapes } from "./fleetShapes.ts";

/** Kinds of the values in the slots, by the name of the slot. */
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

/** Kind of the value in a slot. */
export type SlotKind = typeof SLOT_KINDS[SlotName];

/** TypeScript type of the value in a slot. */
export type SlotValue<N extends SlotName> = typeof SLOT_KINDS[N] extends "duration" | "number" ? number
    : string;

/** Names of the slots in a pattern such as `pause entry <entry> for <durationMs>`. */
export type SlotsOf<P extends string> = P extends `${string}<${infer N}>${infer Rest}`
    ? (N extends SlotName ? N : never) | SlotsOf<Rest>
    : never;

/** Argument values of a pattern, by the name of the slot. */
export type StepArguments<P extends string> = { readonly [N in SlotsOf<P>]: SlotValue<N>; };

/**
 * Describes the kind of value in a slot, for readers of the language's reference.
 *
 * @param slot - name of the slot
 * @returns description of the kind, for example `time`
 */
export const describeSlot = (slot: string): string => {
    const kind = slot in SLOT_KINDS ? SLOT_KINDS[slot as SlotName] : slot;
    return kind === "duration" ? "time" : kind;
};

/** The value of a slot, or an error message. */
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
 * Resolves the name in a slot against the names of the fleet.
 *
 * @param kind - kind of the value in the slot
 * @param text - text in the slot; for an entry its name or its number from 1
 * @param shape - fleet that the scenario runs on
 * @returns the value, or an error message that lists the valid names
 */
export const resolveName = (
    kind: Exclude<SlotKind, "duration" | "number">,
    text: string,
    shape: FleetShape,
): SlotResult =>
    match(kind)
        .with("data centre", () => requireOneOf("data centre", text, shape.dataCentres))
        .with("backend server", () =>
            requireOneOf("backend server", text, listFleetServers(shape).map(server => server.name)))
        .with("entry", () =>
            resolveEntry(text, listFleetEntryNames(shape)))
        .with("fleet", () => requireOneOf("fleet", text, Object.keys(fleetShapes)))
        .with("name", (): SlotResult => ({ kind: "value", value: text }))
        .exhaustive();
