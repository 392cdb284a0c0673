/**
 * What a request does after an attempt.
 *
 * @packageDocumentation
 */

/** Next action after an attempt. */
export type NextStep =
    | { readonly kind: "done"; }
    | { readonly kind: "again"; }
    | { readonly kind: "stop"; readonly reason: string; };
