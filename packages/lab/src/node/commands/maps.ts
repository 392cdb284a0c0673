/**
 * Command `maps`: compares policies for expert maps on a stand-in group.
 *
 * @packageDocumentation
 */

import { ExitCode, SettingsError } from "@magnolialock/kernel";
import Table from "cli-table3";
import { type MapsReport, runMapsExperiment } from "../../shared/maps/mapsExperiment.ts";
import { type Drift, DRIFTS } from "../../shared/standIns/popularityModel.ts";
import { labCommands } from "../labCommands.ts";

const RANKS = [8, 16, 32] as const;
const MAX_EXPERTS = 1_024;
const MAX_LAYERS = 512;
const MICROSECONDS_PER_MS = 1_000;

const processorMs = (): number => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_MS;
};

const integerArgument = (name: string, value: unknown, min: number, max: number): number => {
    const number = Number(value);
    if (!Number.isInteger(number) || number < min || number > max) {
        throw new SettingsError(`--${name} ${String(value)}: write a whole number from ${min} to ${max}`);
    }
    return number;
};

const formatReport = (report: MapsReport): string => {
    const table = new Table({
        head: ["policy", "skewMean", "skewP99", "GB moved", "steps stalled", "tokens/s ratio"],
        style: { head: [], border: [] },
    });
    for (const [name, figures] of Object.entries(report.policies)) {
        table.push([
            name,
            figures.skewMean.toFixed(3),
            figures.skewP99.toFixed(3),
            (figures.bytesMoved / 1e9).toFixed(0),
            figures.stepsStalled.toFixed(0),
            figures.tokensPerSecondRatio.toFixed(4),
        ]);
    }
    const { policies: _policies, arguments: _arguments, ...once } = report;
    return `${table.toString()}\n${JSON.stringify(once)}`;
};

/** Runs the experiment and prints its figures. */
export const mapsCommand = labCommands.register({
    name: "maps",
    usage: "maps",
    description: "Compare policies for expert maps on a stand-in group of ranks",
    builder: yargs =>
        yargs
            .option("seed", { type: "number", default: 1, describe: "seed of the random numbers" })
            .option("ranks", { type: "number", choices: RANKS, default: 32, describe: "ranks of the group" })
            .option("experts", { type: "number", default: 128, describe: "experts in each layer" })
            .option("layers", { type: "number", default: 58, describe: "layers with experts" })
            .option("drift", { choices: DRIFTS, default: "day" as const, describe: "how popularity changes" })
            .option("json", { type: "boolean", default: false, describe: "print JSON" }),
    run: async args => {
        const ranks = integerArgument("ranks", args["ranks"], 1, MAX_EXPERTS);
        const report = await runMapsExperiment({
            seed: integerArgument("seed", args["seed"], 0, 0x7fffffff),
            ranks,
            experts: integerArgument("experts", args["experts"], ranks, MAX_EXPERTS),
            layers: integerArgument("layers", args["layers"], 1, MAX_LAYERS),
            drift: args["drift"] as Drift,
            processorMs,
        });
        process.stdout.write(
            `${args["json"] ? JSON.stringify(report, undefined, 4) : formatReport(report)}\n`,
        );
        return ExitCode.Success;
    },
});
