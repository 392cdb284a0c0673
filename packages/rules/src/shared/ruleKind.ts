/**
 * Rule kinds. Each is a plug-in that defines a keyword, its fields and its effect on the rule set.
 *
 * @packageDocumentation
 */

import { type Plugin, PluginRegistry } from "@magnolialock/kernel";
import type { DefinableKind, SourcePosition } from "../types/definable.ts";
import type { RuleSetBuilder } from "./ruleSetBuilder.ts";

/** A parsed value, or the problem with its text. */
export type FieldResult<T> = { readonly kind: "value"; readonly value: T; } | {
    readonly kind: "problem";
    readonly message: string;
};

/** Definition of one field of a rule. */
export interface FieldDefinition<T = unknown> {
    /** Form of the value as users write it, for messages. */
    readonly placeholder: string;
    /** Parses the text of the field. */
    readonly parse: (text: string) => FieldResult<T>;
    /** Value when the field is omitted; a field without a default is required. */
    readonly defaultValue?: T;
    /** Kind of thing that the value refers to; another rule must define it. */
    readonly references?: DefinableKind;
}

/** Values of a set of field definitions. */
export type FieldValues<F extends Readonly<Record<string, FieldDefinition>>> = {
    readonly [K in keyof F]: F[K] extends FieldDefinition<infer V> ? V : never;
};

/** Definition of a rule kind with typed fields. */
export interface RuleKindDefinition<
    P extends Readonly<Record<string, FieldDefinition>>,
    F extends Readonly<Record<string, FieldDefinition>>,
> extends Plugin {
    /** One sentence for the reference. */
    readonly summary: string;
    /** Example line, for the reference and for messages. */
    readonly example: string;
    /** Kind of thing that the rule defines, named by its first positional field. */
    readonly defines?: DefinableKind;
    /** Positional fields, after the keyword. */
    readonly positional: P;
    /** Named fields, written `key=value`. */
    readonly fields: F;
    /** Adds the rule to the rule set; may report findings through the builder. */
    readonly apply: (
        values: FieldValues<P> & FieldValues<F>,
        builder: RuleSetBuilder,
        position: SourcePosition,
    ) => void;
}

/** A rule kind without the types of its fields, as the parser uses it. */
export type RuleKind = RuleKindDefinition<
    Readonly<Record<string, FieldDefinition>>,
    Readonly<Record<string, FieldDefinition>>
>;

/** Registry of all rule kinds. */
export const ruleKinds = new PluginRegistry<RuleKind>("rule kind");

/**
 * Defines a rule kind and registers it.
 *
 * @param definition - keyword, fields and effect
 * @returns the definition
 */
export const defineRuleKind = <
    P extends Readonly<Record<string, FieldDefinition>>,
    F extends Readonly<Record<string, FieldDefinition>>,
>(definition: RuleKindDefinition<P, F>): RuleKindDefinition<P, F> => {
    ruleKinds.register(definition as unknown as RuleKind);
    return definition;
};
