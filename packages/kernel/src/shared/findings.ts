/**
 * Findings: errors in input that people write, such as rule files and flags. All findings of an input are
 * reported together.
 *
 * @packageDocumentation
 */

/** One error in an input, with its position. */
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
 * Formats a finding like a compiler message.
 *
 * @param finding - the finding
 * @returns `source:line:column: message`
 */
export const formatFinding = (finding: Finding): string =>
    finding.line === undefined
        ? `${finding.source}: ${finding.message}`
        : `${finding.source}:${finding.line}:${finding.column ?? 1}: ${finding.message}`;
