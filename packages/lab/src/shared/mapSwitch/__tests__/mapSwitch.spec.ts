import { branded, createRandomSource, seedFaults } from "@magnolialock/kernel";
import type { EncodedMap, MapId } from "@magnolialock/maps";
import test from "ava";
import { VirtualGroup } from "../virtualGroup.ts";

const mapNamed = (name: string): EncodedMap => ({
    id: branded<MapId>(name),
    bytes: new TextEncoder().encode(name),
});

const startGroup = async (seed: number, honoursFencing = false, ranks = 4): Promise<VirtualGroup> => {
    const random = createRandomSource(seed);
    const group = await VirtualGroup.start({ ranks, random, honoursFencing, initialMap: mapNamed("map 0") });
    await group.runSteps(3, 10_000);
    return group;
};

const PROTOCOL_LIMIT_MS = 10_000;
/** Longest time without a step once all ranks can talk. */
const BLOCK_LIMIT_MS = 3_000;

test.serial("a group starts, changes its map and runs on", async t => {
    const group = await startGroup(1);
    const result = await group.propose(2, mapNamed("map 1"), PROTOCOL_LIMIT_MS);
    t.is(result.kind, "committed");
    t.truthy(await group.runSteps(10, BLOCK_LIMIT_MS));
    t.is(group.lockStep.mapOfStep.get(group.lockStep.completedSteps - 1), "map 1");
    t.is(group.lockStep.mixedMapSteps, 0);
    await group.stop();
});

const STEP_OF_WATCH_MS = 0.1;

/** Runs in small steps until something is so. */
const runUntil = async (group: VirtualGroup, isSo: () => boolean): Promise<void> => {
    const endMs = group.clock.nowMs() + PROTOCOL_LIMIT_MS;
    while (!isSo()) {
        if (group.clock.nowMs() > endMs) {
            throw new RangeError("it did not come so far");
        }
        await group.clock.advance(STEP_OF_WATCH_MS);
    }
};

const isArmed = (group: VirtualGroup): boolean =>
    group.engines.every(engine => engine.armedEpoch !== undefined);

/** Rank 0 decides, only rank 1 hears it, rank 0 is paused; rank 3 starts another change; rank 0 wakes. */
const runTrace8 = async (group: VirtualGroup): Promise<void> => {
    const first = group.taskOf(0).propose(mapNamed("map 1"), "test");
    await runUntil(group, () => isArmed(group));
    const heal = group.links.cutOneWay(({ name }) => name === "rank-0", ({ name }) => name > "rank-1");
    await runUntil(group, () => group.taskOf(1).member.memory.decided.some(({ map }) => map.id === "map 1"));
    group.runtimeOf(0).process.pause();
    const second = group.taskOf(3).propose(mapNamed("map 2"), "test");
    await group.clock.advance(1_000);
    heal();
    group.runtimeOf(0).process.wake();
    await group.clock.advance(PROTOCOL_LIMIT_MS);
    await Promise.all([first, second]);
};

/** All ranks are armed, then the engine of rank 2 restarts before the decision reaches it. */
const runTrace9 = async (group: VirtualGroup): Promise<void> => {
    const proposal = group.taskOf(0).propose(mapNamed("map 1"), "test");
    await runUntil(group, () => isArmed(group));
    await runUntil(group, () => group.taskOf(2).member.memory.armed !== undefined);
    group.engines[2]!.restart();
    await group.clock.advance(PROTOCOL_LIMIT_MS);
    await proposal;
};

const mapOfLastStep = ({ lockStep }: VirtualGroup): string | undefined =>
    lockStep.mapOfStep.get(lockStep.completedSteps - 1);

for (const honoursFencing of [false, true]) {
    const engines = honoursFencing ? "engines that fence" : "engines that ignore fencing";

    test.serial(`trace 8: a coordinator is paused after half of the commits, ${engines}`, async t => {
        const group = await startGroup(2, honoursFencing);
        await runTrace8(group);
        t.truthy(await group.runSteps(10, BLOCK_LIMIT_MS));
        t.is(group.lockStep.mixedMapSteps, 0);
        t.is(mapOfLastStep(group), "map 1");
        await group.stop();
    });

    test.serial(`trace 9: an engine restarts between arming and the step, ${engines}`, async t => {
        const group = await startGroup(3, honoursFencing);
        await runTrace9(group);
        t.truthy(await group.runSteps(10, BLOCK_LIMIT_MS));
        t.is(group.lockStep.mixedMapSteps, 0);
        await group.stop();
    });
}

test.serial("trace 8 mixes maps when an armed rank starts without asking", async t => {
    using _fault = seedFaults(["maps.start-without-asking"]);
    const group = await startGroup(2);
    await runTrace8(group);
    t.true(group.lockStep.mixedMapSteps > 0);
    await group.stop();
});

test.serial("trace 9 mixes maps when the engine is not read again", async t => {
    using _fault = seedFaults(["maps.skip-engine-reread"]);
    const group = await startGroup(3);
    await runTrace9(group);
    t.true(group.lockStep.mixedMapSteps > 0);
    await group.stop();
});

/** Causes failures for a while, lets them end, and looks at the steps. */
const runFailures = async (
    seed: number,
): Promise<{ readonly group: VirtualGroup; readonly blockMs?: number; }> => {
    const random = createRandomSource(seed).fork("failures");
    const ranks = 2 + seed % 4;
    const group = await startGroup(seed, seed % 2 === 0, ranks);
    const anyRank = (): number => random.nextInt(0, ranks - 1);
    const causes: (() => void | Promise<void>)[] = [
        () => void group.taskOf(anyRank()).propose(mapNamed(`map ${random.nextInt(1, 99)}`), "test"),
        () => void group.taskOf(anyRank()).propose(mapNamed(`map ${random.nextInt(1, 99)}`), "test"),
        () => {
            const { process } = group.runtimeOf(anyRank());
            process.pause();
            group.clock.setTimer(random.nextInt(50, 1_500), () => process.wake());
        },
        () => {
            const name = `rank-${anyRank()}`;
            const heal = group.links.cut(endpoint => endpoint.name === name, () => true);
            group.clock.setTimer(random.nextInt(50, 5_000), heal);
        },
        () => group.restartAgent(anyRank()),
        () => group.engines[anyRank()]!.restart(),
    ];
    for (let count = 0; count < 30; count++) {
        await causes[random.nextInt(0, causes.length - 1)]!();
        await group.clock.advance(random.nextInt(1, 400));
    }
    await group.clock.advance(5_000);
    return { group, blockMs: await group.runSteps(3, BLOCK_LIMIT_MS) };
};

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

test.serial("random failures never mix maps, and the group runs on when they end", async t => {
    for (const seed of SEEDS) {
        const { group, blockMs } = await runFailures(seed);
        t.is(group.lockStep.mixedMapSteps, 0, `seed ${seed}`);
        t.truthy(blockMs, `seed ${seed}: no step within ${BLOCK_LIMIT_MS} ms`);
        await group.stop();
    }
});
