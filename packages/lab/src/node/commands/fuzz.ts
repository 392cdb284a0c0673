/**
 * Command `fuzz`: runs random faults and requests on a virtual fleet and checks them against the oracle.
 *
 * @packageDocumentation
 */

import { ExitCode, seedFaults } from "@magnolialock/kernel";
import { writeFile } from "node:fs/promises";
import { fuzzFleet, type FuzzReport } from "../../shared/fuzzing/fuzzFleet.ts";
import { labCommands } from "../labCommands.ts";

const DEFAULT_RUNS = 50;

const formatReport = (report: FuzzReport, replayFile: string | undefined): string => {
    const runs = `${report.runs} runs, ${report.commands} commands, seed ${report.seed}`;
    if (report.violations.length === 0) {
        return `no promise was violated in ${runs}\n`;
    }
    const messages = report.violations.map(({ promise, message }) => `promise ${promise}: ${message}\n`).join(
        "",
    );
    return `${messages}FAILED after ${runs}; replay with: magnolialock-lab run ${replayFile}\n`;
};

/** Fuzzes a virtual fleet; writes a failing run to a scenario file. */
export const fuzzCommand = labCommands.register({
    name: "fuzz",
    usage: "fuzz",
    description: "Run random faults and requests on a virtual fleet until a promise is violated",
    builder: yargs =>
        yargs
            .option("seed", { type: "number", default: 1, describe: "seed of the first run" })
            .option("runs", { type: "number", default: DEFAULT_RUNS, describe: "greatest number of runs" })
            .option("shrink", { type: "boolean", default: true, describe: "shrink a failing run" })
            .option("seeded-faults", {
                type: "string",
                array: true,
                default: [],
                describe: "faults to seed in the product, to test the fuzzer itself",
            })
            .option("promise", { type: "string", array: true, describe: "check only these promises" })
            .option("planned", {
                type: "boolean",
                default: false,
                describe: "run only planned operations, no faults",
            })
            .option("out", {
                type: "string",
                describe: "scenario file for the failing run; fuzz-<seed>.scenario by default",
            })
            .option("json", {
                type: "boolean",
                default: false,
                describe: "print the report as one line of JSON",
            }),
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
        const { replay: _replay, ...fields } = report;
        process.stdout.write(
            args["json"]
                ? `${JSON.stringify({ kind: "fuzz", ...fields, replayFile })}\n`
                : formatReport(report, replayFile),
        );
        return report.violations.length > 0 ? ExitCode.Failure : ExitCode.Success;
    },
});
