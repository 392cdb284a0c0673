/**
 * Command `check`: validates a rule file and prints all findings.
 *
 * @packageDocumentation
 */

import { errorMessage, ExitCode, formatFinding } from "@magnolialock/kernel";
import { parseRules } from "@magnolialock/rules";
import { readFile } from "node:fs/promises";
import { commands } from "../command.ts";

/** Validates a rule file. */
export const checkCommand = commands.register({
    name: "check",
    usage: "check <file>",
    description: "Validate a rule file and print every finding as FILE:LINE:COL: message",
    builder: yargs =>
        yargs.positional("file", { type: "string", describe: "rule file to validate", demandOption: true }),
    run: async args => {
        const file = String(args["file"]);
        let bytes: Uint8Array;
        try {
            bytes = await readFile(file);
        }
        catch (error) {
            process.stderr.write(`cannot read ${file}: ${errorMessage(error)}\n`);
            return ExitCode.Usage;
        }
        const parsed = parseRules(bytes, { source: file });
        if (parsed.kind === "rejected") {
            process.stdout.write(parsed.findings.map(finding => `${formatFinding(finding)}\n`).join(""));
            return ExitCode.Failure;
        }
        const { rules, lineCount } = parsed;
        process.stdout.write(
            `${file}: ${lineCount} valid rules: ${rules.services.size} services, ${rules.servers.size} backend `
                + `servers, ${rules.dataCentres.size} data centres, ${rules.accounts.size} client accounts\n`,
        );
        return ExitCode.Success;
    },
});
