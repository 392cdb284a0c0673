/**
 * Programs with several commands; commands are plug-ins that register themselves.
 *
 * @packageDocumentation
 */

import yargs, { type ArgumentsCamelCase, type Argv } from "yargs";
import { SettingsError } from "../shared/errors.ts";
import type { Plugin, PluginRegistry } from "../shared/plugins.ts";
import { VERSION } from "../shared/version.ts";
import { ExitCode } from "./settings.ts";

/** One command of a program. */
export interface Command extends Plugin {
    /** How it is called, for example `check <file>`. */
    readonly usage: string;
    /** One sentence for `--help`. */
    readonly description: string;
    /** Declares its arguments. */
    readonly builder: (yargs: Argv) => Argv;
    /**
     * Runs it.
     *
     * @param args - its arguments
     * @returns the exit code
     */
    readonly run: (args: ArgumentsCamelCase) => Promise<number>;
}

/** Options of {@link runCommandLine}. */
export interface CommandLineOptions {
    /** Name of the binary. */
    readonly programName: string;
    /** Its commands. */
    readonly commands: PluginRegistry<Command>;
}

/** Prefix of the environment variables of all flags. */
const ENVIRONMENT_PREFIX = "MAGNOLIALOCK";
const HELP_WIDTH = 100;

/**
 * Runs the command that the process was called with.
 *
 * @param options - name and commands
 * @returns the exit code of the command
 * @throws SettingsError when the program was called wrongly
 */
export const runCommandLine = async (options: CommandLineOptions): Promise<number> => {
    let exitCode: number = ExitCode.Success;
    let parser = yargs(process.argv.slice(2))
        .scriptName(options.programName)
        .version(VERSION)
        .env(ENVIRONMENT_PREFIX)
        .strictCommands()
        .strictOptions()
        .wrap(HELP_WIDTH)
        .demandCommand(1, `name a command: see ${options.programName} --help`)
        .epilogue(
            "Every flag has a variable, MAGNOLIALOCK_ and its name in upper case.\n"
                + "Exit codes: 0 success, 1 failure or findings, 2 wrong use or an unreadable file.",
        )
        .fail((message, error) => {
            throw error ?? new SettingsError(`${message}: see ${options.programName} --help`);
        });
    for (const command of options.commands.all()) {
        parser = parser.command(command.usage, command.description, command.builder, async args => {
            exitCode = await command.run(args);
        });
    }
    await parser.parseAsync();
    return exitCode;
};
