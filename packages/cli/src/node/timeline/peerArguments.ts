/**
 * Arguments of commands that read several processes.
 *
 * @packageDocumentation
 */

import { type Address, parseAddress } from "@magnolialock/kernel";
import type { ArgumentsCamelCase, Argv } from "yargs";

/**
 * Declares the flag for the processes to read.
 *
 * @param yargs - parser of the command
 * @returns the parser
 */
export const addPeersOption = (yargs: Argv): Argv =>
    yargs.option("peers", {
        type: "string",
        demandOption: true,
        describe: "control addresses of entries and agents, IP:PORT separated by commas",
    });

/**
 * Reads the flag for the processes to read.
 *
 * @param args - arguments of the command
 * @returns the addresses
 * @throws SettingsError when one is no address
 */
export const readPeers = (args: ArgumentsCamelCase): Address[] =>
    String(args["peers"]).split(",").filter(part => part.trim() !== "").map(part =>
        parseAddress(part.trim())
    );
