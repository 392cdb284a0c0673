/**
 * Command `maps`: compares policies for expert maps on a simulated group of ranks.
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

const cpuTimeMs = (): number => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_MS;
};

const parseInteger = (name: string, value: unknown, min: number, max: number): number => {
    const number = Number(value);
    if (!Number.isInteger(number) || number < min || number > max) {
        throw new SettingsError(`--${name} ${String(value)}: must be an integer from ${min} to ${max}`);
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
    const { policies: _policies, arguments: _arguments, ...remaining } = report;
    return `${table.toString()}\n${JSON.stringify(remaining)}`;
};

/** Runs the experiment and prints its results. */
export const mapsCommand = labCommands.register({
    name: "maps",
    usage: "maps",
    description: "Compare policies for expert maps on a simulated group of ranks",
    builder: yargs =>
        yargs
            .option("seed", { type: "number", default: 1, describe: "seed of the random numbers" })
            .option("ranks", {
                type: "number",
                choices: RANKS,
                default: 32,
                describe: "number of ranks in the group",
            })
            .option("experts", { type: "number", default: 128, describe: "number of experts in each layer" })
            .option("layers", { type: "number", default: 58, describe: "number of layers with experts" })
            .option("drift", {
                choices: DRIFTS,
                default: "day" as const,
                describe: "how the popularity of experts changes",
            })
            .option("json", { type: "boolean", default: false, describe: "print the result as JSON" }),
    run: async args => {
        const ranks = parseInteger("ranks", args["ranks"], 1, MAX_EXPERTS);
        const report = await runMapsExperiment({
            seed: parseInteger("seed", args["seed"], 0, 0x7fffffff),
            ranks,
            experts: parseInteger("experts", args["experts"], ranks, MAX_EXPERTS),
            layers: parseInteger("layers", args["layers"], 1, MAX_LAYERS),
            drift: args["drift"] as Drift,
            processorMs: cpuTimeMs,
        });
        process.stdout.write(
            `${args["json"] ? JSON.stringify(report, undefined, 4) : formatReport(report)}\n`,
        );
        return ExitCode.Success;
    },
});
