/**
 * Commands of the lab.
 *
 * @packageDocumentation
 */

import { type Command, PluginRegistry } from "@magnolialock/kernel";

/** All commands of the lab. */
export const labCommands = new PluginRegistry<Command>("lab command");
