import { formatFinding } from "@magnolialock/kernel";
import test from "ava";
import { parseScenario } from "../parseScenario.ts";

const findingsOf = (text: string): string[] => {
    const parsed = parseScenario(text, "test");
    return parsed.kind === "rejected" ? parsed.findings.map(formatFinding) : [];
};

test("steps have their time, arguments and line number", t => {
    const parsed = parseScenario(
        "fleet letreiro # who\nseed 7\n\nat 3 s take data centre recife out\npause entry 4 for 800 ms\n"
            + "expect no new work in recife after 3 s\nat 1 min expect every process at revision 2\nrun for 2 min",
        "test",
    );
    if (parsed.kind === "rejected") {
        t.fail(parsed.findings.map(formatFinding).join("\n"));
        return;
    }
    t.deepEqual(parsed.scenario.settings, { fleet: "letreiro", seed: 7, durationMs: 120_000 });
    t.deepEqual(parsed.scenario.steps.map(({ atMs, args, line }) => ({ atMs, args, line })), [
        { atMs: 3_000, args: { dataCentre: "recife" }, line: 4 },
        { atMs: 3_000, args: { entry: "entry-natal-2", durationMs: 800 }, line: 5 },
        { atMs: undefined, args: { dataCentre: "recife", afterMs: 3_000 }, line: 6 },
        { atMs: 60_000, args: { revision: 2 }, line: 7 },
    ]);
});

test("all findings are reported at once, each with its line and column", t => {
    const findings = findingsOf(
        "fleet smal\nat 3 take data centre recife out\nat 3 s paus entry 1 for 8 s\n"
            + "at 4 s take data centre lisboa out\n@ kill entry 9\npause entry 1 for ever\n",
    );
    t.deepEqual(findings.map(finding => finding.split(": ")[0]), [
        "test:1:7",
        "test:2:4",
        "test:3:8",
        "test:4:25",
        "test:5:1",
        "test:6:19",
    ]);
    t.regex(findings[0] ?? "", /use one of letreiro/);
    t.regex(findings[2] ?? "", /did you mean "pause"/);
    t.regex(findings[5] ?? "", /write it like "pause entry <entry> for <time>"/);
});

test("a file without steps is accepted", t => {
    t.deepEqual(findingsOf("# nothing\n\n"), []);
});
