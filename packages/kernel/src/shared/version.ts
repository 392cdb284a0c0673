/**
 * Version of the programs.
 *
 * @packageDocumentation
 */

/** Version that `--version` prints and that a process reports in its status. */
export const VERSION = "0.1.0";
