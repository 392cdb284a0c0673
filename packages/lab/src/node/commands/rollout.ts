/**
 * Command `rollout`: measures how configuration changes propagate through a fleet.
 *
 * @packageDocumentation
 */

import { ExitCode } from "@magnolialock/kernel";
import { MAX_RULES_BYTES } from "@magnolialock/rules";
import { ROLLOUT_FAULTS, type RolloutFault, runRollout } from "../../shared/rollout/rolloutExperiment.ts";
import type { RolloutReport } from "../../shared/rollout/rolloutRecorder.ts";
import { labCommands } from "../labCommands.ts";

const formatReport = (report: RolloutReport): string =>
    Object.entries(report)
        .map(([name, value]) => `${name}: ${typeof value === "object" ? JSON.stringify(value) : value}\n`)
        .join("");

/** Runs the rollout experiment and prints its report. */
export const rolloutCommand = labCommands.register({
    name: "rollout",
    usage: "rollout",
    description: "Measure how configuration changes propagate through a fleet of control planes",
    builder: yargs =>
        yargs
            .option("nodes", { type: "number", default: 100, describe: "number of nodes" })
            .option("data-centres", { type: "number", default: 11, describe: "number of data centres" })
            .option("seed", { type: "number", default: 1, describe: "seed of the random numbers" })
            .option("fault", { choices: ROLLOUT_FAULTS, default: "none", describe: "fault to inject" })
            .option("rules-bytes", {
                type: "number",
                default: MAX_RULES_BYTES,
                describe: "size of the rule file, in bytes",
            })
            .option("json", {
                type: "boolean",
                default: false,
                describe: "print the report as one line of JSON",
            }),
    run: async args => {
        const report = await runRollout({
            nodes: Number(args["nodes"]),
            dataCentres: Number(args["dataCentres"]),
            seed: Number(args["seed"]),
            fault: args["fault"] as RolloutFault,
            rulesBytes: Number(args["rulesBytes"]),
        });
        process.stdout.write(args["json"] ? `${JSON.stringify(report)}\n` : formatReport(report));
        return ExitCode.Success;
    },
});
