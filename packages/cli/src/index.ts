/**
 * The command line tool for operators.
 *
 * @packageDocumentation
 */

export * from "./node/command.ts";
