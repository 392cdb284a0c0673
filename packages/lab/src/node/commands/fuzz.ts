/**
 * Command `fuzz`: random faults and requests against the oracle.
 *
 * @packageDocumentation
 */

import { ExitCode, seedFaults } from "@magnolialock/kernel";
import { writeFile } from "node:fs/promises";
import { fuzzFleet, type FuzzReport } from "../../shared/fuzzing/fuzzFleet.ts";
import { labCommands } from "../labCommands.ts";

const DEFAULT_RUNS = 50;

const describe = (report: FuzzReport, replayFile: string | undefined): string => {
    const runs = `${report.runs} runs, ${report.commands} commands, seed ${report.seed}`;
    if (report.violations.length === 0) {
        return `no promise was violated in ${runs}\n`;
    }
    const messages = report.violations.map(({ promise, message }) => `promise ${promise}: ${message}\n`).join(
        "",
    );
    return `${messages}FAILED after ${runs}; replay with: magnolialock-lab run ${replayFile}\n`;
};

/** Fuzzes a virtual fleet. */
export const fuzzCommand = labCommands.register({
    name: "fuzz",
    usage: "fuzz",
    description: "Send random faults and requests to a virtual fleet until a promise is violated",
    builder: yargs =>
        yargs
            .option("seed", { type: "number", default: 1, describe: "seed of the first run" })
            .option("runs", { type: "number", default: DEFAULT_RUNS, describe: "runs to make" })
            .option("shrink", { type: "boolean", default: true, describe: "make a failing run smaller" })
            .option("seeded-faults", {
                type: "string",
                array: true,
                default: [],
                describe: "faults to switch on in the product, to try the fuzzer itself",
            })
            .option("promise", { type: "string", array: true, describe: "judge by these promises only" })
            .option("planned", {
                type: "boolean",
                default: false,
                describe: "only what operators plan, no faults",
            })
            .option("out", { type: "string", describe: "file for the failing run" })
            .option("json", { type: "boolean", default: false, describe: "print one JSON object" }),
    run: async args => {
        const seed = Number(args["seed"]);
        using _faults = seedFaults(args["seededFaults"] as string[]);
        const report = await fuzzFleet({
            seed,
            runs: Number(args["runs"]),
            shrinks: Boolean(args["shrink"]),
            isPlannedOnly: Boolean(args["planned"]),
            promises: args["promise"] as string[] | undefined,
        });
        const replayFile = report.replay && String(args["out"] ?? `fuzz-${seed}.scenario`);
        if (report.replay !== undefined && replayFile !== undefined) {
            await writeFile(replayFile, report.replay);
        }
        const { replay: _replay, ...figures } = report;
        process.stdout.write(
            args["json"]
                ? `${JSON.stringify({ kind: "fuzz", ...figures, replayFile })}\n`
                : describe(report, replayFile),
        );
        return report.violations.length > 0 ? ExitCode.Failure : ExitCode.Success;
    },
});
