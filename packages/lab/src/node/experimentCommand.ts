/**
 * What the commands of experiments share: their flags and how they print.
 *
 * @packageDocumentation
 */

import { ExitCode, SettingsError } from "@magnolialock/kernel";
import type { ArgumentsCamelCase, Argv } from "yargs";
import { EXPERIMENT_SIZES, type ExperimentSize } from "../shared/load/experimentSize.ts";
import { BASELINE_VARIANTS, MAIN_VARIANT, type Variant } from "../shared/load/variants.ts";

const MAX_SEED = 0x7fffffff;

/** Flags of an experiment. */
export interface ExperimentFlags {
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the fleet. */
    readonly size: ExperimentSize;
    /** Whether to run the baselines too. */
    readonly baselines: boolean;
    /** Whether to print JSON. */
    readonly json: boolean;
}

/** Figures of an experiment by their names. */
export type Figures = Readonly<Record<string, number>>;

/**
 * Declares the flags of an experiment.
 *
 * @param yargs - the parser
 * @returns the parser
 */
export const experimentFlags = (yargs: Argv): Argv =>
    yargs
        .option("seed", { type: "number", default: 1, describe: "seed of the random numbers" })
        .option("size", { choices: EXPERIMENT_SIZES, default: "today", describe: "size of the fleet" })
        .option("baselines", {
            type: "boolean",
            default: true,
            describe: "also run the baselines with the same load and seed",
        })
        .option("json", { type: "boolean", default: false, describe: "print JSON" });

const readFlags = (args: ArgumentsCamelCase): ExperimentFlags => {
    const seed = Number(args["seed"]);
    if (!Number.isInteger(seed) || seed < 0 || seed > MAX_SEED) {
        throw new SettingsError(
            `--seed is ${String(args["seed"])}: give a whole number from 0 to ${MAX_SEED}`,
        );
    }
    return {
        seed,
        size: args["size"] as ExperimentSize,
        baselines: Boolean(args["baselines"]),
        json: Boolean(args["json"]),
    };
};

const formatFigures = (name: string, figures: Figures): string =>
    [name, ...Object.entries(figures).map(([key, value]) => `    ${key} ${Number(value.toFixed(3))}`)]
        .map(line => `${line}\n`)
        .join("");

/**
 * Runs an experiment for the project's own way to serve and, unless told otherwise, for the baselines.
 *
 * @param name - name of the experiment
 * @param args - flags as yargs read them
 * @param run - runs it once
 * @returns the exit code
 */
export const runExperimentCommand = async <T extends object>(
    name: string,
    args: ArgumentsCamelCase,
    run: (flags: ExperimentFlags, variant: Variant) => Promise<T>,
): Promise<number> => {
    const flags = readFlags(args);
    const own = await run(flags, MAIN_VARIANT);
    const baselines: Record<string, T> = {};
    for (const variant of flags.baselines ? BASELINE_VARIANTS : []) {
        baselines[variant.name] = await run(flags, variant);
    }
    if (flags.json) {
        const result = { experiment: name, seed: flags.seed, size: flags.size, ...own, baselines };
        process.stdout.write(`${JSON.stringify(result)}\n`);
        return ExitCode.Success;
    }
    const sections = [[MAIN_VARIANT.name, own] as const, ...Object.entries(baselines)];
    process.stdout.write(
        sections.map(([title, figures]) => formatFigures(title, figures as Figures)).join(""),
    );
    return ExitCode.Success;
};
