/**
 * Programs with several commands; commands are plug-ins that register themselves.
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
    /** Arguments without the program's name; those of the process by default. */
    readonly argv?: readonly string[];
    /** Environment variables; those of the process by default. */
    readonly environment?: NodeJS.ProcessEnv;
}

const HELP_WIDTH = 100;

/** What yargs knows of the flags that a command has declared; it has no type for it. */
interface YargsOptionTables {
    getOptions(): {
        readonly key: Readonly<Record<string, unknown>>;
        readonly array: readonly string[];
        readonly boolean: readonly string[];
        readonly number: readonly string[];
    };
}

/**
 * Takes the values of a command's own flags from their variables. Variables of other programs are none of its business.
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
 * Runs the command that the process was called with.
 *
 * @param options - name and commands
 * @returns the exit code of the command
 * @throws SettingsError when the program was called wrongly
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
        .demandCommand(1, `name a command: see ${options.programName} --help`)
        .epilogue(
            "Every flag has a variable, MAGNOLIALOCK_ and its name in upper case.\n"
                + "Exit codes: 0 success, 1 failure or findings, 2 wrong use or an unreadable file.",
        )
        .fail((message, error) => {
            throw error ?? new SettingsError(`${message}: see ${options.programName} --help`);
        });
    for (const command of options.commands.all()) {
        const builder = (commandParser: Argv): Argv => applyEnvironmentDefaults(command.builder(commandParser), environment);
        parser = parser.command(command.usage, command.description, builder, async args => {
            exitCode = await command.run(args);
        });
    }
    await parser.parseAsync();
    return exitCode;
};
