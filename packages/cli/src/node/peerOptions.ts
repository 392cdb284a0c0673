/**
 * Options of commands that query processes.
 *
 * @packageDocumentation
 */

import { type Address, parseAddress, SettingsError } from "@magnolialock/kernel";
import type { ArgumentsCamelCase, Argv } from "yargs";

const DEFAULT_TIMEOUT_MS = 2_000;

/**
 * Adds the `--peer` option.
 *
 * @param yargs - parser of the command
 * @param describe - help text of the option
 * @returns the parser
 */
export const addPeerOption = (yargs: Argv, describe: string): Argv =>
    yargs.option("peer", { alias: "peers", type: "string", array: true, describe });

/**
 * Adds the options of commands that discover the whole fleet from one process.
 *
 * @param yargs - parser of the command
 * @returns the parser
 */
export const addFleetOptions = (yargs: Argv): Argv =>
    addPeerOption(yargs, "control address of a process; the others are discovered through it")
        .option("timeout-ms", {
            type: "number",
            default: DEFAULT_TIMEOUT_MS,
            describe: "timeout of each call to a process, in milliseconds",
        })
        .option("json", { type: "boolean", default: false, describe: "print JSON for scripts" });

/**
 * Parses the addresses given with `--peer`.
 *
 * @param args - arguments of the command
 * @returns the addresses
 * @throws SettingsError when no address is given or one is malformed
 */
export const readPeers = (args: ArgumentsCamelCase): readonly Address[] => {
    const texts = (args["peer"] as string[] | undefined ?? []).flatMap(text => text.split(",")).filter(text =>
        text.trim() !== ""
    );
    if (texts.length === 0) {
        throw new SettingsError(
            "no process given: add --peer, for example --peer 127.0.0.1:7100, or set MAGNOLIALOCK_PEER",
        );
    }
    return texts.map(text => parseAddress(text.trim()));
};
