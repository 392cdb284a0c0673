import { formatFinding } from "@magnolialock/kernel";
import test from "ava";
import { readdirSync, readFileSync } from "node:fs";
import { parseScenario } from "../parseScenario.ts";
import { runScenario } from "../runScenario.ts";

const folder = new URL("../../../../../../playground/scenarios/", import.meta.url);

/** Scenarios whose test is expected to fail; KNOWN-RED.txt lists them with the reason. */
const KNOWN_FAILURES: ReadonlySet<string> = new Set(["trace-04-crossed-answers.scenario"]);

/** Declares a test for each scenario file whose name matches the pattern. */
export const testScenarios = (pattern: RegExp): void => {
    for (const file of readdirSync(folder).filter(name => name.endsWith(".scenario") && pattern.test(name))) {
        const run = KNOWN_FAILURES.has(file) ? test.failing : test;
        run(file, async t => {
            const parsed = parseScenario(readFileSync(new URL(file, folder), "utf8"), file);
            if (parsed.kind === "rejected") {
                t.fail(parsed.findings.map(formatFinding).join("\n"));
                return;
            }
            const { findings } = await runScenario(parsed.scenario);
            t.is(findings.map(formatFinding).join("\n"), "");
        });
    }
};
