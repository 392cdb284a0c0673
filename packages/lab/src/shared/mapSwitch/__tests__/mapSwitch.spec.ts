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
/** Longest virtual time for steps to resume once all ranks can communicate. */
const RESUME_LIMIT_MS = 3_000;

test.serial("a group starts, switches its map and keeps running", async t => {
    const group = await startGroup(1);
    const result = await group.propose(2, mapNamed("map 1"), PROTOCOL_LIMIT_MS);
    t.is(result.kind, "committed");
    t.truthy(await group.runSteps(10, RESUME_LIMIT_MS));
    t.is(group.lockStep.mapOfStep.get(group.lockStep.completedSteps - 1), "map 1");
    t.is(group.lockStep.mixedMapSteps, 0);
    await group.stop();
});

const POLL_INTERVAL_MS = 0.1;

/** Advances the clock in small steps until a condition holds. */
const runUntil = async (group: VirtualGroup, condition: () => boolean): Promise<void> => {
    const endMs = group.clock.nowMs() + PROTOCOL_LIMIT_MS;
    while (!condition()) {
        if (group.clock.nowMs() > endMs) {
            throw new RangeError("the condition was not met within the protocol limit");
        }
        await group.clock.advance(POLL_INTERVAL_MS);
    }
};

const isArmed = (group: VirtualGroup): boolean =>
    group.engines.every(engine => engine.armedEpoch !== undefined);

/**
 * Rank 0 commits a switch, but only rank 1 receives the commit before rank 0 is paused. Rank 3 then proposes
 * another switch, the network heals, and rank 0 resumes.
 */
const pauseCoordinatorMidCommit = async (group: VirtualGroup): Promise<void> => {
    const first = group.taskOf(0).propose(mapNamed("map 1"), "test");
    await runUntil(group, () => isArmed(group));
    const heal = group.links.cutOneWay(({ name }) => name === "rank-0", ({ name }) => name > "rank-1");
    await runUntil(
        group,
        () => group.taskOf(1).member.cachedState.decided.some(({ map }) => map.id === "map 1"),
    );
    group.runtimeOf(0).process.pause();
    const second = group.taskOf(3).propose(mapNamed("map 2"), "test");
    await group.clock.advance(1_000);
    heal();
    group.runtimeOf(0).process.resume();
    await group.clock.advance(PROTOCOL_LIMIT_MS);
    await Promise.all([first, second]);
};

/** All ranks are armed; the engine of rank 2 restarts before the decision reaches it. */
const restartArmedEngine = async (group: VirtualGroup): Promise<void> => {
    const proposal = group.taskOf(0).propose(mapNamed("map 1"), "test");
    await runUntil(group, () => isArmed(group));
    await runUntil(group, () => group.taskOf(2).member.cachedState.armed !== undefined);
    group.engines[2]!.restart();
    await group.clock.advance(PROTOCOL_LIMIT_MS);
    await proposal;
};

const mapOfLastStep = ({ lockStep }: VirtualGroup): string | undefined =>
    lockStep.mapOfStep.get(lockStep.completedSteps - 1);

for (const honoursFencing of [false, true]) {
    const engines = honoursFencing ? "engines that honour fencing" : "engines that ignore fencing";

    test.serial(`trace 8: a coordinator is paused after some of the commits, ${engines}`, async t => {
        const group = await startGroup(2, honoursFencing);
        await pauseCoordinatorMidCommit(group);
        t.truthy(await group.runSteps(10, RESUME_LIMIT_MS));
        t.is(group.lockStep.mixedMapSteps, 0);
        t.is(mapOfLastStep(group), "map 1");
        await group.stop();
    });

    test.serial(`trace 9: an engine restarts between arming and the step, ${engines}`, async t => {
        const group = await startGroup(3, honoursFencing);
        await restartArmedEngine(group);
        t.truthy(await group.runSteps(10, RESUME_LIMIT_MS));
        t.is(group.lockStep.mixedMapSteps, 0);
        await group.stop();
    });
}

test.serial("trace 8 mixes maps when an armed rank starts without asking its peers", async t => {
    using _fault = seedFaults(["maps.start-without-asking"]);
    const group = await startGroup(2);
    await pauseCoordinatorMidCommit(group);
    t.true(group.lockStep.mixedMapSteps > 0);
    await group.stop();
});

test.serial("trace 9 mixes maps when the engine's state is not read again", async t => {
    using _fault = seedFaults(["maps.skip-engine-reread"]);
    const group = await startGroup(3);
    await restartArmedEngine(group);
    t.true(group.lockStep.mixedMapSteps > 0);
    await group.stop();
});

/** Injects random failures, waits until they have ended, and measures the time until steps resume. */
const runFailures = async (
    seed: number,
): Promise<{ readonly group: VirtualGroup; readonly resumeMs?: number; }> => {
    const random = createRandomSource(seed).fork("failures");
    const ranks = 2 + seed % 4;
    const group = await startGroup(seed, seed % 2 === 0, ranks);
    const randomRank = (): number => random.nextInt(0, ranks - 1);
    const failures: (() => void | Promise<void>)[] = [
        () => void group.taskOf(randomRank()).propose(mapNamed(`map ${random.nextInt(1, 99)}`), "test"),
        () => void group.taskOf(randomRank()).propose(mapNamed(`map ${random.nextInt(1, 99)}`), "test"),
        () => {
            const { process } = group.runtimeOf(randomRank());
            process.pause();
            group.clock.setTimer(random.nextInt(50, 1_500), () => process.resume());
        },
        () => {
            const name = `rank-${randomRank()}`;
            const heal = group.links.cut(endpoint => endpoint.name === name, () => true);
            group.clock.setTimer(random.nextInt(50, 5_000), heal);
        },
        () => group.restartAgent(randomRank()),
        () => group.engines[randomRank()]!.restart(),
    ];
    for (let count = 0; count < 30; count++) {
        await failures[random.nextInt(0, failures.length - 1)]!();
        await group.clock.advance(random.nextInt(1, 400));
    }
    await group.clock.advance(5_000);
    return { group, resumeMs: await group.runSteps(3, RESUME_LIMIT_MS) };
};

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

test.serial("random failures never mix maps, and the group resumes its steps when they end", async t => {
    for (const seed of SEEDS) {
        const { group, resumeMs } = await runFailures(seed);
        t.is(group.lockStep.mixedMapSteps, 0, `seed ${seed}`);
        t.truthy(resumeMs, `seed ${seed}: no step within ${RESUME_LIMIT_MS} ms`);
        await group.stop();
    }
});
