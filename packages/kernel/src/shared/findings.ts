/**
 * Findings about input that people write. They are collected and reported together.
 *
 * @packageDocumentation
 */

/** One thing that is wrong with an input, and where. */
export interface Finding {
    /** Name of the file, flag or variable. */
    readonly source: string;
    /** Line, from 1; undefined where the source has no lines. */
    readonly line?: number;
    /** Column in characters, from 1; undefined where the source has no lines. */
    readonly column?: number;
    /** What is wrong and what to write instead. */
    readonly message: string;
}

/**
 * Formats a finding the way compilers do.
 *
 * @param finding - the finding
 * @returns `source:line:column: message`
 */
export const formatFinding = (finding: Finding): string =>
    finding.line === undefined
        ? `${finding.source}: ${finding.message}`
        : `${finding.source}:${finding.line}:${finding.column ?? 1}: ${finding.message}`;
