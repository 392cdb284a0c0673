/**
 * Things that rules define, and places in the file.
 *
 * @packageDocumentation
 */

/** Kinds of things that rules define and refer to. */
export type DefinableKind = "data-centre" | "service" | "server" | "account" | "group";

/** Where a word stands. */
export interface SourcePosition {
    /** Line, from 1. */
    readonly line: number;
    /** Column in characters, from 1. */
    readonly column: number;
}
