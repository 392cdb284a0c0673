/**
 * Registry of the lab's commands.
 *
 * @packageDocumentation
 */

import { type Command, PluginRegistry } from "@magnolialock/kernel";

/** Commands of `magnolialock-lab`; each module in `commands` registers one. */
export const labCommands = new PluginRegistry<Command>("lab command");
