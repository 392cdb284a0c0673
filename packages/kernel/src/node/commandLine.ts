/**
 * Command line of programs with several commands. Commands are plug-ins that register themselves.
 *
 * @packageDocumentation
 */

import { match } from "ts-pattern";
import yargs, { type ArgumentsCamelCase, type Argv } from "yargs";
import { SettingsError } from "../shared/errors.ts";
import type { Plugin, PluginRegistry } from "../shared/plugins.ts";
import { VERSION } from "../shared/version.ts";
import { environmentVariable, ExitCode } from "./settings.ts";

/** One command of a program. */
export interface Command extends Plugin {
    /** Command name and positional arguments, for example `check <file>`. */
    readonly usage: string;
    /** One sentence for `--help`. */
    readonly description: string;
    /** Declares its arguments and flags. */
    readonly builder: (yargs: Argv) => Argv;
    /**
     * Runs the command.
     *
     * @param args - parsed arguments and flags
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
    /** Arguments without the program's name; by default those of the process. */
    readonly argv?: readonly string[];
    /** Environment variables; by default those of the process. */
    readonly environment?: NodeJS.ProcessEnv;
}

const HELP_WIDTH = 100;

/** Tables of the declared flags, which yargs provides but its type definitions lack. */
interface YargsOptionTables {
    getOptions(): {
        readonly key: Readonly<Record<string, unknown>>;
        readonly array: readonly string[];
        readonly boolean: readonly string[];
        readonly number: readonly string[];
    };
}

/**
 * Makes environment variables the defaults of the flags that a command declares. Other `MAGNOLIALOCK_`
 * variables may belong to other programs: they are ignored rather than reported as unknown flags.
 *
 * @param commandParser - parser on which the command has declared its flags
 * @param environment - environment variables
 * @returns the same parser
 */
const applyEnvironmentDefaults = (commandParser: Argv, environment: NodeJS.ProcessEnv): Argv => {
    const flags = (commandParser as unknown as YargsOptionTables).getOptions();
    for (const name of Object.keys(flags.key)) {
        const text = environment[environmentVariable(name)];
        if (text === undefined || name === "help" || name === "version") {
            continue;
        }
        const value = match(name)
            .when(key => flags.number.includes(key), () => Number(text))
            .when(key => flags.boolean.includes(key), () => text === "true" || text === "1")
            .when(key => flags.array.includes(key), () => text.split(","))
            .otherwise(() => text);
        commandParser.default(name, value);
    }
    return commandParser;
};

/**
 * Parses the arguments and runs the command that they name.
 *
 * @param options - program name, commands, arguments and environment
 * @returns the exit code of the command
 * @throws SettingsError when the arguments are invalid
 */
export const runCommandLine = async (options: CommandLineOptions): Promise<number> => {
    let exitCode: number = ExitCode.Success;
    const environment = options.environment ?? process.env;
    let parser = yargs([...(options.argv ?? process.argv.slice(2))])
        .scriptName(options.programName)
        .version(VERSION)
        .strictCommands()
        .strictOptions()
        .wrap(HELP_WIDTH)
        .demandCommand(1, `a command is required: see ${options.programName} --help`)
        .epilogue(
            "Every flag has an environment variable: MAGNOLIALOCK_ and its name in upper case.\n"
                + "Exit codes: 0 success, 1 failure or findings, 2 usage error or unreadable file.",
        )
        .fail((message, error) => {
            throw error ?? new SettingsError(`${message}: see ${options.programName} --help`);
        });
    for (const command of options.commands.all()) {
        const builder = (commandParser: Argv): Argv =>
            applyEnvironmentDefaults(command.builder(commandParser), environment);
        parser = parser.command(command.usage, command.description, builder, async args => {
            exitCode = await command.run(args);
        });
    }
    await parser.parseAsync();
    return exitCode;
};
