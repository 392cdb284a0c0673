/**
 * Rule kinds: each is a plug-in that knows its words, its fields and what it adds to the rules.
 *
 * @packageDocumentation
 */

import { type Plugin, PluginRegistry } from "@magnolialock/kernel";
import type { DefinableKind, SourcePosition } from "../types/definable.ts";
import type { RuleSetBuilder } from "./ruleSetBuilder.ts";

/** A value, or what is wrong with its text. */
export type FieldResult<T> = { readonly kind: "value"; readonly value: T; } | {
    readonly kind: "problem";
    readonly message: string;
};

/** Reads the text of one field. */
export interface FieldDefinition<T = unknown> {
    /** How a user would write it, for messages. */
    readonly placeholder: string;
    /** Reads the text. */
    readonly parse: (text: string) => FieldResult<T>;
    /** Value when the field is left out; without it the field is required. */
    readonly defaultValue?: T;
    /** Kind of thing that the value must name. */
    readonly references?: DefinableKind;
}

/** Values of a set of field definitions. */
export type FieldValues<F extends Readonly<Record<string, FieldDefinition>>> = {
    readonly [K in keyof F]: F[K] extends FieldDefinition<infer V> ? V : never;
};

/** A kind of rule with all its fields typed. */
export interface RuleKindDefinition<
    P extends Readonly<Record<string, FieldDefinition>>,
    F extends Readonly<Record<string, FieldDefinition>>,
> extends Plugin {
    /** One sentence for the reference. */
    readonly summary: string;
    /** A line that is right. */
    readonly example: string;
    /** What it defines; its first positional field is the name. */
    readonly defines?: DefinableKind;
    /** Fields by position, after the kind. */
    readonly positional: P;
    /** Fields written `key=value`. */
    readonly fields: F;
    /** Adds the rule; it may report findings through the builder. */
    readonly apply: (
        values: FieldValues<P> & FieldValues<F>,
        builder: RuleSetBuilder,
        position: SourcePosition,
    ) => void;
}

/** A kind of rule as the parser sees it. */
export type RuleKind = RuleKindDefinition<
    Readonly<Record<string, FieldDefinition>>,
    Readonly<Record<string, FieldDefinition>>
>;

/** All kinds of rules. */
export const ruleKinds = new PluginRegistry<RuleKind>("rule kind");

/**
 * Defines a kind of rule and registers it.
 *
 * @param definition - words, fields and effect
 * @returns the definition
 */
export const defineRuleKind = <
    P extends Readonly<Record<string, FieldDefinition>>,
    F extends Readonly<Record<string, FieldDefinition>>,
>(definition: RuleKindDefinition<P, F>): RuleKindDefinition<P, F> => {
    ruleKinds.register(definition as unknown as RuleKind);
    return definition;
};
