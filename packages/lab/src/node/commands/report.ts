/**
 * Command `report`: creates an HTML page and a summary from the results of lab runs.
 *
 * @packageDocumentation
 */

import { errorMessage, ExitCode, type Finding, formatFinding } from "@magnolialock/kernel";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { basename, join, resolve } from "node:path";
import type { VersionRuns } from "../../shared/reports/compareRuns.ts";
import { createReportPage, createReportSummary } from "../../shared/reports/reportPage.ts";
import { parseRun, type ReportRun } from "../../shared/reports/reportRun.ts";
import { labCommands } from "../labCommands.ts";

/** Reads the results in one folder; each line of a file is one run. */
const readVersionRuns = async (folder: string, findings: Finding[]): Promise<VersionRuns> => {
    const files = (await readdir(folder)).filter(name => name.endsWith(".json")).sort();
    const runs: ReportRun[] = [];
    for (const file of files) {
        const path = join(folder, file);
        const lines = (await readFile(path, "utf8")).split("\n");
        for (const [index, line] of lines.entries()) {
            if (line.trim() === "") {
                continue;
            }
            const parsed = parseRun(line);
            if (parsed.kind === "run") {
                runs.push(parsed.run);
            }
            else {
                findings.push({ source: path, line: index + 1, column: 1, message: parsed.message });
            }
        }
    }
    return { version: basename(resolve(folder)), runs };
};

const readEarlierVersions = async (folder: string, findings: Finding[]): Promise<VersionRuns[]> => {
    const entries = await readdir(folder, { withFileTypes: true });
    const names = entries.filter(entry => entry.isDirectory()).map(({ name }) => name).sort();
    return await Promise.all(names.map(name => readVersionRuns(join(folder, name), findings)));
};

/** Creates the report of a folder and, if it has subfolders, compares it with their versions. */
export const reportCommand = labCommands.register({
    name: "report",
    usage: "report <dir>",
    description:
        "Create an HTML page from the --json results in a folder; subfolders hold those of earlier versions",
    builder: yargs =>
        yargs
            .positional("dir", { type: "string", demandOption: true, describe: "folder with *.json files" })
            .option("out", {
                type: "string",
                describe: "file of the page; report.html in the folder by default",
            }),
    run: async args => {
        const folder = String(args["dir"]);
        const findings: Finding[] = [];
        let currentVersion: VersionRuns;
        let earlierVersions: VersionRuns[];
        try {
            currentVersion = await readVersionRuns(folder, findings);
            earlierVersions = await readEarlierVersions(folder, findings);
        }
        catch (error) {
            process.stderr.write(`cannot read ${folder}: ${errorMessage(error)}\n`);
            return ExitCode.Usage;
        }
        const out = String(args["out"] ?? join(folder, "report.html"));
        await writeFile(out, await createReportPage(currentVersion, earlierVersions));
        process.stdout.write(`${createReportSummary(currentVersion, earlierVersions)}\nwrote ${out}\n`);
        process.stderr.write(findings.map(finding => `${formatFinding(finding)}\n`).join(""));
        return findings.length > 0 || currentVersion.runs.length === 0 ? ExitCode.Failure : ExitCode.Success;
    },
});
