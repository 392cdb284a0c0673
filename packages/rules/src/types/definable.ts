/**
 * Kinds of things that rules define, and positions in the rule file.
 *
 * @packageDocumentation
 */

/** Kinds of things that rules define and refer to. */
export type DefinableKind = "data-centre" | "service" | "server" | "account" | "group";

/** Position of a token in the rule file. */
export interface SourcePosition {
    /** Line, from 1. */
    readonly line: number;
    /** Column in characters, from 1. */
    readonly column: number;
}
