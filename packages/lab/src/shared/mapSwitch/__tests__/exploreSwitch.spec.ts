import { createRandomSource, seedFaults } from "@magnolialock/kernel";
import test from "ava";
import { exploreSwitch, sampleSwitch } from "../exploreSwitch.ts";
import type { SwitchBudget } from "../switchSimulation.ts";

const ONE_SWITCH: SwitchBudget = {
    ranks: 2,
    proposers: [0],
    timeouts: 0,
    agentCrashes: 0,
    engineCrashes: 0,
    resolves: 0,
    steps: 2,
    honoursFencing: false,
};

interface SearchScope {
    readonly name: string;
    readonly budget: Partial<SwitchBudget>;
    /** Largest number of choices in a sequence; without it, only the budget would bound the search. */
    readonly depth: number;
}

const SCOPES: readonly SearchScope[] = [
    { name: "2 ranks, one switch", budget: {}, depth: 60 },
    { name: "2 ranks, one switch, an armed rank asks its peers", budget: { resolves: 1 }, depth: 60 },
    { name: "2 ranks, one switch, a timeout", budget: { timeouts: 1, resolves: 1 }, depth: 14 },
    { name: "2 ranks, one switch, an agent crash", budget: { agentCrashes: 1, resolves: 1 }, depth: 9 },
    { name: "2 ranks, one switch, an engine restart", budget: { engineCrashes: 1, resolves: 1 }, depth: 10 },
    { name: "2 ranks, two switches", budget: { proposers: [0, 1] }, depth: 9 },
    { name: "3 ranks, two switches", budget: { ranks: 3, proposers: [0, 1] }, depth: 7 },
    { name: "4 ranks, two switches", budget: { ranks: 4, proposers: [0, 1] }, depth: 6 },
];

const MAX_STATES = 40_000;

for (const { name, budget, depth } of SCOPES) {
    test.serial(`no interleaving mixes maps or blocks the group: ${name}, up to ${depth} choices`, async t => {
        const result = await exploreSwitch({
            budget: { ...ONE_SWITCH, ...budget },
            depth,
            maxStates: MAX_STATES,
        });
        t.log(`${result.states} states, ${result.runs} runs`);
        t.is(result.violation, undefined);
        t.true(result.isComplete);
    });
}

const ALL_EVENTS: Partial<SwitchBudget> = {
    proposers: [0, 1],
    timeouts: 2,
    agentCrashes: 1,
    engineCrashes: 1,
    resolves: 3,
    steps: 4,
};

for (const ranks of [2, 3, 4]) {
    test.serial(`no random walk mixes maps or blocks the group: ${ranks} ranks, all kinds of events`, async t => {
        const result = await sampleSwitch({
            budget: { ...ONE_SWITCH, ...ALL_EVENTS, ranks },
            walks: 150,
            random: createRandomSource(ranks),
        });
        t.log(`${result.states} states, ${result.runs} runs`);
        t.is(result.violation, undefined);
    });
}

const FAULTS: readonly { readonly fault: string; readonly budget: Partial<SwitchBudget>; }[] = [
    { fault: "maps.commit-without-unanimity", budget: { timeouts: 1, resolves: 1 } },
    { fault: "maps.start-without-asking", budget: { timeouts: 1, resolves: 1 } },
    { fault: "maps.accept-lower-epoch", budget: { resolves: 1 } },
    { fault: "maps.skip-engine-reread", budget: { engineCrashes: 1, resolves: 1 } },
];

for (const { fault, budget } of FAULTS) {
    test.serial(`the search finds ${fault}`, async t => {
        using _fault = seedFaults([fault]);
        const options = { budget: { ...ONE_SWITCH, ...budget }, depth: 60, maxStates: MAX_STATES };
        const { violation, states } = await exploreSwitch(options);
        t.log(`${states} states, ${violation?.trail.length} choices`);
        t.is(violation?.text, "a step ran with mixed maps");
    });
}
