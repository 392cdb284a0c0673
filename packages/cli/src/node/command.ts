/**
 * Commands of the operators' program.
 *
 * @packageDocumentation
 */

import { type Command, PluginRegistry } from "@magnolialock/kernel";

/** All commands of the operators' program. */
export const commands = new PluginRegistry<Command>("command");
