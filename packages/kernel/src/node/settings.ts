/**
 * Settings of a program: command-line flags, each with an environment variable. All invalid settings are
 * reported together.
 *
 * @packageDocumentation
 */

import { distance } from "fastest-levenshtein";
import yargs from "yargs";
import type { Address } from "../shared/brand.ts";
import { errorMessage, SettingsError } from "../shared/errors.ts";
import { type Finding, formatFinding } from "../shared/findings.ts";
import { parseAddress } from "./address.ts";

/** Definition of one setting. */
export interface Setting<T> {
    /** Purpose of the setting; shown by `--help`. */
    readonly description: string;
    /** Parses the text of the flag or variable; throws an error that says what to write instead. */
    readonly parse: (text: string) => T;
    /** Value when neither flag nor variable is given. */
    readonly defaultValue?: T;
    /** Whether the flag or the variable must be given. */
    readonly isRequired?: boolean;
    /** Whether the flag is boolean and can be given without a value. */
    readonly isSwitch?: boolean;
}

/** Settings by flag name in camel case. */
export type SettingDefinitions = Readonly<Record<string, Setting<unknown>>>;

/** Resolved values of a set of definitions. */
export type ResolvedSettings<T extends SettingDefinitions> = {
    readonly [K in keyof T]: T[K] extends Setting<infer V> ? V : never;
};

interface CommonOptions<T> {
    readonly description: string;
    readonly defaultValue?: T;
    readonly isRequired?: boolean;
}

/**
 * Defines a text setting.
 *
 * @param options - description, default and whether it is required
 * @returns the setting
 */
export const textSetting = <D extends string | undefined = undefined>(
    options: { readonly description: string; readonly defaultValue?: D; readonly isRequired?: boolean; },
): Setting<D extends string ? string : string | undefined> => ({
    ...options,
    parse: (text: string) => text as never,
} as Setting<D extends string ? string : string | undefined>);

/**
 * Defines a required text setting.
 *
 * @param options - description
 * @returns the setting
 */
export const requiredTextSetting = (options: { readonly description: string; }): Setting<string> => ({
    ...options,
    isRequired: true,
    parse: text => text,
});

/**
 * Defines a setting for an integer within bounds.
 *
 * @param options - description, default and inclusive bounds
 * @returns the setting
 */
export const integerSetting = (
    options: CommonOptions<number> & {
        readonly min: number;
        readonly max: number;
        readonly defaultValue: number;
    },
): Setting<number> => ({
    ...options,
    parse: text => {
        const value = Number(text);
        if (!/^-?\d+$/.test(text) || value < options.min || value > options.max) {
            throw new SettingsError(`"${text}" must be a whole number from ${options.min} to ${options.max}`);
        }
        return value;
    },
});

/**
 * Defines a setting that takes one of a list of values.
 *
 * @param options - description, default and the allowed values
 * @returns the setting
 */
export const choiceSetting = <T extends string>(
    options: { readonly description: string; readonly choices: readonly T[]; readonly defaultValue: T; },
): Setting<T> => ({
    ...options,
    description: `${options.description} (${options.choices.join(", ")})`,
    parse: text => {
        const choice = options.choices.find(candidate => candidate === text);
        if (choice === undefined) {
            throw new SettingsError(`"${text}" must be one of ${options.choices.join(", ")}`);
        }
        return choice;
    },
});

/**
 * Defines a boolean setting that is off by default; its flag needs no value.
 *
 * @param options - description
 * @returns the setting
 */
export const switchSetting = (options: { readonly description: string; }): Setting<boolean> => ({
    ...options,
    defaultValue: false,
    isSwitch: true,
    parse: text => {
        if (!["true", "false", "1", "0"].includes(text)) {
            throw new SettingsError(`"${text}" must be true or false`);
        }
        return text === "true" || text === "1";
    },
});

/**
 * Defines an optional address setting.
 *
 * @param options - description
 * @returns the setting
 */
export const addressSetting = (options: { readonly description: string; }): Setting<Address | undefined> => ({
    ...options,
    parse: parseAddress,
});

/**
 * Defines a required address setting.
 *
 * @param options - description
 * @returns the setting
 */
export const requiredAddressSetting = (options: { readonly description: string; }): Setting<Address> => ({
    ...options,
    isRequired: true,
    parse: parseAddress,
});

/**
 * Defines a setting for a comma-separated list of addresses, by default empty.
 *
 * @param options - description
 * @returns the setting
 */
export const addressListSetting = (
    options: { readonly description: string; },
): Setting<readonly Address[]> => ({
    ...options,
    defaultValue: [],
    parse: text => text.split(",").filter(part => part !== "").map(part => parseAddress(part.trim())),
});

/** A program whose settings are resolved. */
export interface SettingsProgram<T extends SettingDefinitions> {
    /** Name of the binary. */
    readonly programName: string;
    /** One sentence for `--help`. */
    readonly description: string;
    /** Version for `--version`. */
    readonly version: string;
    /** The settings. */
    readonly definitions: T;
}

/** Exit codes of all programs. */
export const ExitCode = {
    /** The program succeeded. */
    Success: 0,
    /** The input has findings, or the program failed. */
    Failure: 1,
    /** The arguments or settings are invalid, or a file cannot be read. */
    Usage: 2,
} as const;

const kebabCase = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/**
 * Returns the name of a flag's environment variable.
 *
 * @param name - flag name in camel case
 * @returns for example `MAGNOLIALOCK_MAX_BYTES` for `maxBytes`
 */
export const environmentVariable = (name: string): string =>
    `MAGNOLIALOCK_${kebabCase(name).replaceAll("-", "_").toUpperCase()}`;

const MAX_SUGGESTION_DISTANCE = 3;

/**
 * Suggests the known word with the smallest edit distance to an unknown one.
 *
 * @param word - the unknown word
 * @param known - the known words
 * @returns ` (did you mean "x"?)`, or an empty text if no known word is close
 */
export const didYouMean = (word: string, known: readonly string[]): string => {
    const ranked = known
        .map(candidate => ({ candidate, edits: distance(word, candidate) }))
        .sort((left, right) => left.edits - right.edits);
    const [best] = ranked;
    return best && best.edits <= MAX_SUGGESTION_DISTANCE ? ` (did you mean "${best.candidate}"?)` : "";
};

const describeDefault = (setting: Setting<unknown>): string => {
    if (setting.isRequired) {
        return "required";
    }
    const value = setting.defaultValue;
    return value === undefined || value === false || (Array.isArray(value) && value.length === 0)
        ? "optional"
        : `default: ${String(value)}`;
};

const parseFlags = async <T extends SettingDefinitions>(
    program: SettingsProgram<T>,
    argv: readonly string[],
): Promise<Record<string, unknown>> => {
    let parser = yargs([...argv])
        .scriptName(program.programName)
        .usage(`$0 [flags]\n\n${program.description}`)
        .version(program.version)
        .help()
        .wrap(100)
        .exitProcess(true)
        .parserConfiguration({
            "camel-case-expansion": false,
            "boolean-negation": false,
            "dot-notation": false,
        })
        .epilogue(
            "Exit codes: 0 success, 1 failure or findings, 2 usage error. Flags override variables.",
        );
    for (const [name, setting] of Object.entries(program.definitions)) {
        parser = parser.option(kebabCase(name), {
            type: setting.isSwitch ? "boolean" : "string",
            describe: `${setting.description} [${environmentVariable(name)}; ${describeDefault(setting)}]`,
        });
    }
    return await parser.parse() as Record<string, unknown>;
};

const findUnknownFlags = (flags: Record<string, unknown>, knownFlags: readonly string[]): Finding[] => {
    const unknown = Object.keys(flags).filter(flag =>
        !["_", "$0", "help", "version", ...knownFlags].includes(flag)
    );
    const positionals = (flags["_"] as (string | number)[]) ?? [];
    return [
        ...unknown.map(flag => ({
            source: `--${flag}`,
            message: `unknown flag${didYouMean(flag, knownFlags)}: see --help`,
        })),
        ...positionals.map(word => ({ source: String(word), message: "unexpected argument: see --help" })),
    ];
};

interface RawValue {
    readonly source: string;
    readonly text: string;
}

const readRawValue = (
    name: string,
    flags: Record<string, unknown>,
    environment: NodeJS.ProcessEnv,
): RawValue | undefined => {
    const flag = flags[kebabCase(name)];
    if (flag !== undefined) {
        const last = Array.isArray(flag) ? flag.at(-1) : flag;
        return { source: `--${kebabCase(name)}`, text: String(last) };
    }
    const variable = environment[environmentVariable(name)];
    return variable === undefined ? undefined : { source: environmentVariable(name), text: variable };
};

const resolveSetting = (name: string, setting: Setting<unknown>, raw: RawValue | undefined): unknown => {
    if (raw) {
        return setting.parse(raw.text);
    }
    if (setting.isRequired) {
        throw new SettingsError(`is required: give the flag or set ${environmentVariable(name)}`);
    }
    return setting.defaultValue;
};

/**
 * Resolves the settings of a program from flags and environment.
 *
 * @param program - name, version and definitions
 * @param argv - arguments without the program's name
 * @param environment - environment variables
 * @returns one frozen object with all values
 * @throws SettingsError that lists all findings, one per line
 */
export const resolveConfig = async <T extends SettingDefinitions>(
    program: SettingsProgram<T>,
    argv: readonly string[],
    environment: NodeJS.ProcessEnv = process.env,
): Promise<ResolvedSettings<T>> => {
    const flags = await parseFlags(program, argv);
    const names = Object.keys(program.definitions);
    const findings: Finding[] = findUnknownFlags(flags, names.map(kebabCase));
    const values: Record<string, unknown> = {};
    for (const [name, setting] of Object.entries(program.definitions)) {
        const raw = readRawValue(name, flags, environment);
        try {
            values[name] = resolveSetting(name, setting, raw);
        }
        catch (error) {
            findings.push({ source: raw?.source ?? `--${kebabCase(name)}`, message: errorMessage(error) });
        }
    }
    if (findings.length > 0) {
        throw new SettingsError(findings.map(formatFinding).join("\n"));
    }
    return Object.freeze(values) as ResolvedSettings<T>;
};
