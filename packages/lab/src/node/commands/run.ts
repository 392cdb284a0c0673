/**
 * Command `run`: runs scenario files on virtual fleets.
 *
 * @packageDocumentation
 */

import { errorMessage, ExitCode, type Finding, formatFinding } from "@magnolialock/kernel";
import { readFile } from "node:fs/promises";
import { parseScenario } from "../../shared/scenarios/parseScenario.ts";
import { runScenario, type ScenarioReport } from "../../shared/scenarios/runScenario.ts";
import { labCommands } from "../labCommands.ts";

interface FileOutcome {
    readonly exitCode: number;
    readonly findings: readonly Finding[];
    readonly report: ScenarioReport | undefined;
}

const MILLISECONDS_PER_SECOND = 1_000;

const runFile = async (file: string, seed: number | undefined): Promise<FileOutcome> => {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        const message = `cannot be read: ${errorMessage(error)}`;
        return { exitCode: ExitCode.Usage, findings: [{ source: file, message }], report: undefined };
    }
    const parsed = parseScenario(text, file);
    if (parsed.kind === "rejected") {
        return { exitCode: ExitCode.Usage, findings: parsed.findings, report: undefined };
    }
    const report = await runScenario(parsed.scenario, { seed });
    const exitCode = report.findings.length > 0 ? ExitCode.Failure : ExitCode.Success;
    return { exitCode, findings: report.findings, report };
};

const describe = (file: string, outcome: FileOutcome): string => {
    const { report, findings } = outcome;
    const summary = report
        ? `${file}: ${findings.length === 0 ? "passed" : "FAILED"}, seed ${report.seed}, `
            + `${
                report.durationMs / MILLISECONDS_PER_SECOND
            } s, ${report.answered} of ${report.tries} tries answered\n`
        : `${file}: not run\n`;
    return findings.map(finding => `${formatFinding(finding)}\n`).join("") + summary;
};

/** Runs scenario files. */
export const runCommand = labCommands.register({
    name: "run",
    usage: "run <files..>",
    description: "Run scenario files and check their expectations and all promises",
    builder: yargs =>
        yargs
            .positional("files", {
                type: "string",
                array: true,
                demandOption: true,
                describe: "scenario files",
            })
            .option("seed", { type: "number", describe: "seed in place of the files' own" })
            .option("json", { type: "boolean", default: false, describe: "print one JSON object a file" }),
    run: async args => {
        const seed = args["seed"] === undefined ? undefined : Number(args["seed"]);
        let exitCode: number = ExitCode.Success;
        for (const file of args["files"] as string[]) {
            const outcome = await runFile(file, seed);
            exitCode = Math.max(exitCode, outcome.exitCode);
            process.stdout.write(
                args["json"]
                    ? `${JSON.stringify(outcome.report ?? { source: file, findings: outcome.findings })}\n`
                    : describe(file, outcome),
            );
        }
        return exitCode;
    },
});
