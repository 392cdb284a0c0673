import {
    compareTimelineEntries,
    type EventRecord,
    formatTimelineEntry,
    toTimelineEntry,
} from "@magnolialock/kernel";
import test from "ava";
import { parseScenario } from "../parseScenario.ts";
import { runScenario } from "../runScenario.ts";

const FAULTY_SCENARIO = `
at 2 s send 20 drafts a second for 8 s
at 2 s send 10 bookings a second for 8 s
at 2 s lose 10 percent of datagrams
at 2 s repeat 10 percent of datagrams
at 3 s pause entry 1 for 3 s
at 3 s pause agent of server painel-1 for 2 s
at 4 s cut data centre natal off
at 5 s take the platform down
at 6 s replace agent of server redator-2
at 6 s restart server redator-3
at 7 s cross 10 percent of answers
at 7 s replace entry 2
at 8 s heal the network
at 8 s bring the platform up
at 9 s take data centre recife out
run for 20 s
`;

const timelineOf = async (seed: number): Promise<string> => {
    const parsed = parseScenario(FAULTY_SCENARIO, "faulty");
    if (parsed.kind === "rejected") {
        throw new Error("the scenario was rejected");
    }
    const records: EventRecord[] = [];
    await runScenario(parsed.scenario, {
        seed,
        sinks: [{ name: "memory", write: record => records.push(record) }],
    });
    return records.map(toTimelineEntry).sort(compareTimelineEntries).map(formatTimelineEntry).join("\n");
};

test("runs with the same seed have byte-identical timelines", async t => {
    const first = await timelineOf(11);
    const second = await timelineOf(11);
    t.true(first.split("\n").length > 500);
    t.true(first === second);
    t.true(await timelineOf(12) !== first);
});
