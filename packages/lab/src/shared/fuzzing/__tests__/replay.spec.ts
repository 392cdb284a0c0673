import { seedFaults } from "@magnolialock/kernel";
import test from "ava";
import { parseScenario } from "../../scenarios/parseScenario.ts";
import { runScenario } from "../../scenarios/runScenario.ts";
import { fuzzFleet } from "../fuzzFleet.ts";

test("the scenario printed for a failing run reproduces its violations", async t => {
    using _fault = seedFaults(["agent.forget-journal"]);
    const { replay = "", violations } = await fuzzFleet({
        seed: 2,
        runs: 60,
        shrinks: false,
        promises: ["at-most-once"],
    });
    const parsed = parseScenario(replay, "replay");
    if (parsed.kind === "rejected") {
        t.fail(replay);
        return;
    }
    const { findings } = await runScenario(parsed.scenario);
    const replayed = findings.map(({ message }) => message);
    t.true(violations.every(({ promise, message }) => replayed.includes(`promise ${promise}: ${message}`)));
    t.true(violations.length > 0);
});
