/**
 * Flags and output that the commands of experiments share.
 *
 * @packageDocumentation
 */

import { ExitCode, SettingsError } from "@magnolialock/kernel";
import type { ArgumentsCamelCase, Argv } from "yargs";
import { EXPERIMENT_SIZES, type ExperimentSize } from "../shared/load/experimentSize.ts";
import { BASELINE_VARIANTS, MAIN_VARIANT, type Variant } from "../shared/load/variants.ts";

const MAX_SEED = 0x7fffffff;

/** Parsed flags of an experiment. */
export interface ExperimentFlags {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the fleet. */
    readonly size: ExperimentSize;
    /** Whether to run the baselines as well. */
    readonly baselines: boolean;
    /** Whether to print the result as JSON. */
    readonly json: boolean;
}

/** Numeric results of an experiment by name. */
export type NamedFigures = Readonly<Record<string, number>>;

/**
 * Adds the flags of an experiment to a command.
 *
 * @param yargs - argument parser of the command
 * @returns the parser
 */
export const addExperimentFlags = (yargs: Argv): Argv =>
    yargs
        .option("seed", { type: "number", default: 1, describe: "seed of the random numbers" })
        .option("size", { choices: EXPERIMENT_SIZES, default: "today", describe: "size of the fleet" })
        .option("baselines", {
            type: "boolean",
            default: true,
            describe: "also run the baselines with the same load and seed",
        })
        .option("json", {
            type: "boolean",
            default: false,
            describe: "print the result as one line of JSON",
        });

const parseFlags = (args: ArgumentsCamelCase): ExperimentFlags => {
    const seed = Number(args["seed"]);
    if (!Number.isInteger(seed) || seed < 0 || seed > MAX_SEED) {
        throw new SettingsError(
            `--seed ${String(args["seed"])}: must be an integer from 0 to ${MAX_SEED}`,
        );
    }
    return {
        seed,
        size: args["size"] as ExperimentSize,
        baselines: Boolean(args["baselines"]),
        json: Boolean(args["json"]),
    };
};

const formatFigures = (name: string, figures: NamedFigures): string =>
    [name, ...Object.entries(figures).map(([key, value]) => `    ${key} ${Number(value.toFixed(3))}`)]
        .map(line => `${line}\n`)
        .join("");

/**
 * Runs an experiment with the default variant and, unless `--baselines` is off, with each baseline, and
 * prints the results.
 *
 * @param name - name of the experiment
 * @param args - flags as parsed by yargs
 * @param run - runs the experiment once with a variant
 * @returns the exit code
 * @throws SettingsError if the seed is not an integer in its range
 */
export const runExperimentCommand = async <T extends object>(
    name: string,
    args: ArgumentsCamelCase,
    run: (flags: ExperimentFlags, variant: Variant) => Promise<T>,
): Promise<number> => {
    const flags = parseFlags(args);
    const mainResult = await run(flags, MAIN_VARIANT);
    const baselines: Record<string, T> = {};
    for (const variant of flags.baselines ? BASELINE_VARIANTS : []) {
        baselines[variant.name] = await run(flags, variant);
    }
    if (flags.json) {
        const result = { experiment: name, seed: flags.seed, size: flags.size, ...mainResult, baselines };
        process.stdout.write(`${JSON.stringify(result)}\n`);
        return ExitCode.Success;
    }
    const sections = [[MAIN_VARIANT.name, mainResult] as const, ...Object.entries(baselines)];
    process.stdout.write(
        sections.map(([title, figures]) => formatFigures(title, figures as NamedFigures)).join(""),
    );
    return ExitCode.Success;
};
