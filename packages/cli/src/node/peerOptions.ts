/**
 * Options of commands that ask the fleet.
 *
 * @packageDocumentation
 */

import { type Address, parseAddress, SettingsError } from "@magnolialock/kernel";
import type { ArgumentsCamelCase, Argv } from "yargs";

const DEFAULT_TIMEOUT_MS = 2_000;

/**
 * Declares the flag that names processes.
 *
 * @param yargs - parser of the command
 * @param describe - what the processes are for
 * @returns the parser
 */
export const addPeerOption = (yargs: Argv, describe: string): Argv =>
    yargs.option("peer", { alias: "peers", type: "string", array: true, describe });

/**
 * Declares the options of commands that find the fleet through one process.
 *
 * @param yargs - parser of the command
 * @returns the parser
 */
export const declarePeerOptions = (yargs: Argv): Argv =>
    addPeerOption(yargs, "control address of a process; the others are found through it")
        .option("timeout-ms", {
            type: "number",
            default: DEFAULT_TIMEOUT_MS,
            describe: "longest wait for one process, in milliseconds",
        })
        .option("json", { type: "boolean", default: false, describe: "print JSON, for scripts" });

/**
 * Reads the addresses.
 *
 * @param args - arguments of the command
 * @returns the addresses
 * @throws SettingsError when none is given or one is malformed
 */
export const readPeers = (args: ArgumentsCamelCase): readonly Address[] => {
    const texts = (args["peer"] as string[] | undefined ?? []).flatMap(text => text.split(",")).filter(text =>
        text.trim() !== ""
    );
    if (texts.length === 0) {
        throw new SettingsError(
            "name a process: add --peer ADDRESS, for example --peer 127.0.0.1:7100, or set MAGNOLIALOCK_PEER",
        );
    }
    return texts.map(text => parseAddress(text.trim()));
};
