import test from "ava";
import { compareRun } from "../compareRuns.ts";
import { createReportPage, createReportSummary } from "../reportPage.ts";
import { parseRun, type ReportRun } from "../reportRun.ts";

const read = (value: unknown): ReportRun => {
    const parsed = parseRun(JSON.stringify(value));
    if (parsed.kind === "problem") {
        throw new Error(parsed.message);
    }
    return parsed.run;
};

const outage = (goodputRatio: number) => ({
    experiment: "outage",
    seed: 1,
    size: "today",
    goodputRatio,
    baselines: { "round-robin": { goodputRatio: 0.5 } },
});

test("a change is shown as a ratio to the newest earlier version that has the figure", t => {
    const earlier = [{ version: "0.0.1", runs: [read(outage(0.4))] }, { version: "0.0.2", runs: [] }];
    const [own] = compareRun(read(outage(0.8)), earlier);
    t.deepEqual(own?.earlier, [0.4, undefined]);
    t.is(own?.ratio, 2);
});

test("runs of all commands are recognised, and other texts are reported as a problem", t => {
    t.is(read({ inForceMaxMs: 5, nodes: 100, seed: 1 }).title, "rollout, seed 1, nodes 100");
    t.is(read({ policies: { never: { skewMean: 2 } } }).title, "maps");
    t.is(read({ kind: "fuzz", seed: 3, runs: 9 }).title, "fuzz, seed 3");
    t.is(parseRun("{}").kind, "problem");
    t.is(parseRun("[").kind, "problem");
});

test("the page is self-contained and escapes names", async t => {
    const now = { version: "<b>", runs: [read(outage(0.8))] };
    const page = await createReportPage(now, []);
    t.regex(page, /<svg[^>]*>/);
    t.notRegex(page, /<script|href=|src=|<b>/);
    t.regex(createReportSummary(now, []), /goodputRatio/);
});
