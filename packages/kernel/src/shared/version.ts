/**
 * Version of the programs.
 *
 * @packageDocumentation
 */

/** Version that `--version` prints and that processes tell each other. */
export const VERSION = "0.1.0";
