/**
 * Command registry of the command line tool.
 *
 * @packageDocumentation
 */

import { type Command, PluginRegistry } from "@magnolialock/kernel";

/** Registry of all commands. */
export const commands = new PluginRegistry<Command>("command");
