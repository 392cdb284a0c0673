import { branded, seedFaults } from "@magnolialock/kernel";
import test from "ava";
import type { MapVersion, PassNumber } from "../../types/rankServer.ts";
import { type GroupFaults, VirtualGroup } from "./virtualGroup.ts";

const RANKS = 4;
const RUN_MS = 20_000;
const SETTLE_MS = 16_000;

interface RunResult {
    readonly mixedPasses: number;
    readonly switches: number;
    readonly isProgressing: boolean;
    readonly longestStallMs: number;
}

/**
 * Injects faults, then lets the group recover without them; orders that are carried out late still arrive
 * then.
 */
const runScenario = async (seed: number, faults: GroupFaults): Promise<RunResult> => {
    const group = new VirtualGroup(RANKS, seed, faults);
    await group.clock.advance(RUN_MS);
    group.faults = {};
    await group.clock.advance(SETTLE_MS);
    const { pass } = group;
    await group.clock.advance(1_000);
    const isProgressing = group.pass > pass;
    const { longestStallMs, mixedPasses, switches } = group;
    group.end();
    return { mixedPasses, switches, isProgressing, longestStallMs };
};

const ALL_FAULTS: GroupFaults = {
    lostOrders: 0.3,
    slowCalls: 0.05,
    idleEveryMs: 6_000,
    killEveryMs: 900,
    suspendEveryMs: 2_500,
    reformEveryMs: 12_000,
};

const runSeeds = async (seeds: number, faults: GroupFaults): Promise<RunResult[]> => {
    const results: RunResult[] = [];
    for (let seed = 1; seed <= seeds; seed++) {
        results.push(await runScenario(seed, faults));
    }
    return results;
};

const sumMixedPasses = (results: readonly RunResult[]): number =>
    results.reduce((sum, { mixedPasses }) => sum + mixedPasses, 0);

test.serial("without faults the group switches its map repeatedly with only short stalls", async t => {
    const [result] = await runSeeds(1, {});
    t.is(result?.mixedPasses, 0);
    t.true((result?.switches ?? 0) >= 5);
    // A pass takes 60 ms; a switch may delay the next pass by at most one more pass.
    t.true((result?.longestStallMs ?? Infinity) <= 120);
});

test.serial("lost and late orders, crashes, suspensions and new epochs mix no maps in a pass", async t => {
    const results = await runSeeds(25, ALL_FAULTS);
    t.is(sumMixedPasses(results), 0);
    t.true(results.reduce((sum, { switches }) => sum + switches, 0) > 25);
    t.deepEqual(results.flatMap(({ isProgressing }, index) => isProgressing ? [] : [index + 1]), []);
});

for (const faults of [{ suspendLeaders: true }, { suspendOthers: true }]) {
    const faultName = Object.keys(faults).join();
    test.serial(`a suspension right after a hold order does not stall the group: ${faultName}`, async t => {
        const [result] = await runSeeds(1, faults);
        t.is(result?.mixedPasses, 0);
        t.true(result?.isProgressing);
        // Callers abandon a stream after 2 s without an event; a quarter of that leaves room for the pass
        // itself.
        t.true((result?.longestStallMs ?? Infinity) <= 500);
    });
}

test.serial("an agent that starts while its rank holds a pass disarms all ranks and releases it", async t => {
    const group = new VirtualGroup(RANKS, 1);
    await group.clock.advance(100);
    const holder = group.ranks[1];
    const armed = group.ranks[2];
    if (!holder || !armed) {
        t.fail();
        return;
    }
    const pass = branded<PassNumber>(group.pass + 3);
    holder.heldPass = pass;
    armed.armed = { content: { ...armed.inForce, version: branded<MapVersion>(1_024), hash: "new" }, pass };
    await group.clock.advance(2_000);
    t.true(group.pass > pass);
    t.is(group.mixedPasses, 0);
    group.end();
});

test.serial("suspended leaders, lost and late orders, and crashes mix no maps in a pass", async t => {
    const results = await runSeeds(10, { ...ALL_FAULTS, suspendLeaders: true });
    t.is(sumMixedPasses(results), 0);
    t.deepEqual(results.flatMap(({ isProgressing }, index) => isProgressing ? [] : [index + 1]), []);
});

for (const fault of ["rank.release-before-all-confirm", "rank.release-while-arming", "rank.skip-hold"]) {
    test.serial(`passes run on two maps when ${fault} disables the safeguard`, async t => {
        using _fault = seedFaults([fault]);
        t.true(sumMixedPasses(await runSeeds(25, ALL_FAULTS)) > 0);
    });
}
