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

interface FileResult {
    readonly exitCode: number;
    readonly findings: readonly Finding[];
    readonly report: ScenarioReport | undefined;
}

const MILLISECONDS_PER_SECOND = 1_000;

const runFile = async (file: string, seed: number | undefined): Promise<FileResult> => {
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

const formatResult = (file: string, result: FileResult): string => {
    const { report, findings } = result;
    const summary = report
        ? `${file}: ${findings.length === 0 ? "passed" : "FAILED"}, seed ${report.seed}, `
            + `${
                report.durationMs / MILLISECONDS_PER_SECOND
            } s, ${report.answered} of ${report.tries} tries answered\n`
        : `${file}: not run\n`;
    return findings.map(finding => `${formatFinding(finding)}\n`).join("") + summary;
};

/** Runs scenario files; exits with the highest exit code of all files. */
export const runCommand = labCommands.register({
    name: "run",
    usage: "run <files..>",
    description: "Run scenario files on virtual fleets and check their expectations and all promises",
    builder: yargs =>
        yargs
            .positional("files", {
                type: "string",
                array: true,
                demandOption: true,
                describe: "scenario files",
            })
            .option("seed", { type: "number", describe: "seed that replaces the one in the files" })
            .option("json", {
                type: "boolean",
                default: false,
                describe: "print the result of each file as one line of JSON",
            }),
    run: async args => {
        const seed = args["seed"] === undefined ? undefined : Number(args["seed"]);
        let exitCode: number = ExitCode.Success;
        for (const file of args["files"] as string[]) {
            const result = await runFile(file, seed);
            exitCode = Math.max(exitCode, result.exitCode);
            process.stdout.write(
                args["json"]
                    ? `${JSON.stringify(result.report ?? { source: file, findings: result.findings })}\n`
                    : formatResult(file, result),
            );
        }
        return exitCode;
    },
});
