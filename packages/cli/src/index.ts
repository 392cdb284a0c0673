/**
 * The operators' program.
 *
 * @packageDocumentation
 */

export * from "./node/command.ts";
