import test, { type ExecutionContext } from "ava";
import { PublishedFleet, type PublishedFleetOptions } from "./publishedFleet.ts";

const SMALL: PublishedFleetOptions = { instances: 7, servers: 9, dataCentres: 3 };
const FLEETS: Readonly<Record<string, PublishedFleetOptions & { readonly applyMs: number; }>> = {
    "7 instances": { ...SMALL, applyMs: 2_000 },
    "46 instances": { instances: 46, servers: 72, dataCentres: 4, applyMs: 3_000 },
    "400 instances": { instances: 400, servers: 60, dataCentres: 11, applyMs: 6_000 },
};
/** Age of the copy that the store returns from, in milliseconds. */
const COPY_AGE_MS = 9_000;
/** Time for which the store is away, in milliseconds. */
const AWAY_MS = 2_000;
/** Time after the return after which the operator writes its items again, in milliseconds. */
const REWRITE_AFTER_MS = 3_000;
/** Calls to the store per second that the platform of the small sites grants to the fleet. */
const READS_PER_S = 2_000;

/** Starts a fleet with a data centre taken out, as it is when the copy is made. */
const startFleet = async (options: PublishedFleetOptions): Promise<PublishedFleet> => {
    const fleet = new PublishedFleet(options);
    fleet.setOut("centre-2", true);
    await fleet.clock.advance(options.instances > 100 ? 20_000 : 5_000);
    return fleet;
};

/** What the operator and the servers write, and the store forgets. */
const writeLostItems = (fleet: PublishedFleet): Promise<void> => {
    fleet.writeConfiguration(2);
    return writeLostServers(fleet);
};

/** The same without a configuration. */
const writeLostServers = async (fleet: PublishedFleet): Promise<void> => {
    fleet.setOut("centre-1", true);
    fleet.setOut("centre-2", false);
    fleet.addServer("server-900");
    fleet.drainServer("server-3");
    fleet.drainServer("server-6");
    await fleet.clock.advance(2_500);
    fleet.removeServer("server-6");
    fleet.checkedFromMs = fleet.clock.nowMs() + COPY_AGE_MS - 2_500;
    await fleet.advance(COPY_AGE_MS - 2_500);
};

const assertNoViolations = (t: ExecutionContext, fleet: PublishedFleet): void => {
    t.deepEqual([...fleet.violations].slice(0, 10), []);
};

test.serial("a store that loses nothing breaks no promise of this fleet", async t => {
    using fleet = await startFleet(SMALL);
    await writeLostItems(fleet);
    fleet.writeConfiguration(3);
    await fleet.advance(2_000);
    t.is(fleet.countInForce(3), SMALL.instances);
    await fleet.advance(10_000);
    assertNoViolations(t, fleet);
});

for (const [name, { applyMs, ...options }] of Object.entries(FLEETS)) {
    test.serial(`a configuration written after the store returned from a copy is not in force: ${name}`, async t => {
        using fleet = await startFleet(options);
        const copy = fleet.platform.copy();
        await writeLostItems(fleet);
        await fleet.restoreStore(copy, AWAY_MS);
        const returnedMs = fleet.clock.nowMs();
        await fleet.advance(REWRITE_AFTER_MS);
        fleet.rewriteOperatorItems();
        await fleet.advance(1_500);
        fleet.writeConfiguration(3);
        await fleet.advance(applyMs);
        t.is(fleet.countInForce(3), options.instances);
        await fleet.advance(5_000);
        const calls = fleet.calls.filter(({ atMs }) => atMs >= returnedMs).length;
        t.log(`${calls} calls, at most ${fleet.mostCallsPerS(returnedMs)} in a second`);
        t.true(fleet.mostCallsPerS(returnedMs) <= READS_PER_S);
        t.true(calls <= options.instances * 15, `${calls} calls`);
        assertNoViolations(t, fleet);
    });
}

test.serial("an instance that starts after the return takes the operator's items of the copy for the newest", async t => {
    using fleet = await startFleet(SMALL);
    const copy = fleet.platform.copy();
    await writeLostItems(fleet);
    await fleet.restoreStore(copy, AWAY_MS);
    for (const [index, pauseMs] of [[1, 50], [2, 700], [0, 900]] as const) {
        await fleet.advance(pauseMs);
        fleet.startInstance(index);
        await fleet.advance(1_000);
        t.true(fleet.instances[index]?.isReady);
        t.is(fleet.instances[index]?.version, 2);
    }
    await fleet.advance(2_000);
    assertNoViolations(t, fleet);
});

test.serial("an instance that was frozen through the return misses what was written before it woke", async t => {
    using fleet = await startFleet(SMALL);
    const copy = fleet.platform.copy();
    await writeLostItems(fleet);
    const [frozen] = fleet.instances;
    frozen?.clock.pause();
    await fleet.restoreStore(copy, AWAY_MS);
    await fleet.clock.advance(REWRITE_AFTER_MS);
    fleet.rewriteOperatorItems();
    fleet.writeConfiguration(3);
    // The counter passes every revision of before.
    for (let write = 0; write < 40; write++) {
        fleet.setOut("centre-9", true);
        fleet.setOut("centre-9", false);
    }
    await fleet.clock.advance(4_000);
    frozen?.clock.resume();
    await fleet.advance(2_000);
    t.is(fleet.countInForce(3), SMALL.instances);
    assertNoViolations(t, fleet);
});

for (const name of ["frozen", "cut off"] as const) {
    test.serial(`an instance that was ${name} while the lost items were written believes the copy`, async t => {
        using fleet = await startFleet(SMALL);
        const isolated = fleet.instances[3] as (typeof fleet.instances)[number];
        const setIsolated = (isIsolated: boolean): void => {
            if (name === "frozen") {
                isolated.clock[isIsolated ? "pause" : "resume"]();
                return;
            }
            const isInside = (index: number): boolean => isIsolated && index === isolated.index;
            fleet.isCut = (from, to) => isInside(from) || isInside(to);
            isolated.isStoreReachable = !isIsolated;
        };
        setIsolated(true);
        fleet.isUnchecked = instance => instance === isolated;
        // The isolated instance meets this server in the copy only.
        fleet.addServer("server-12");
        const copy = fleet.platform.copy();
        if (name === "frozen") {
            fleet.writeConfiguration(2);
        }
        await fleet.clock.advance(100);
        fleet.removeServer("server-12");
        await writeLostServers(fleet);
        await fleet.restoreStore(copy, AWAY_MS);
        await fleet.advance(1_500);
        setIsolated(false);
        await fleet.advance(name === "frozen" ? 1_500 : 3_000);
        fleet.isUnchecked = () => false;
        await fleet.advance(1_000);
        t.is(fleet.countInForce(name === "frozen" ? 2 : 1), SMALL.instances);
        assertNoViolations(t, fleet);
    });
}

test.serial("an instance that the store turns away keeps to the era of before", async t => {
    using fleet = await startFleet(SMALL);
    const copy = fleet.platform.copy();
    await writeLostItems(fleet);
    const cutOff = fleet.instances.slice(0, 2);
    cutOff.forEach(instance => instance.isStoreReachable = false);
    await fleet.restoreStore(copy, AWAY_MS);
    await fleet.advance(REWRITE_AFTER_MS);
    fleet.rewriteOperatorItems();
    await fleet.advance(1_500);
    fleet.writeConfiguration(3);
    await fleet.advance(2_000);
    t.is(fleet.countInForce(3), SMALL.instances);
    cutOff.forEach(instance => instance.isStoreReachable = true);
    await fleet.advance(4_000);
    assertNoViolations(t, fleet);
});

test.serial("a data centre that is cut off through the return takes its old state back to the others", async t => {
    using fleet = await startFleet(SMALL);
    const copy = fleet.platform.copy();
    await writeLostItems(fleet);
    const isInside = (index: number): boolean => fleet.dataCentreOf(index) === "centre-0";
    fleet.isCut = (from, to) => isInside(from) !== isInside(to);
    const inside = fleet.instances.filter(({ index }) => isInside(index));
    inside.forEach(instance => instance.isStoreReachable = false);
    await fleet.restoreStore(copy, AWAY_MS);
    await fleet.advance(REWRITE_AFTER_MS);
    fleet.rewriteOperatorItems();
    fleet.writeConfiguration(3);
    await fleet.advance(6_000);
    t.is(fleet.countInForce(3), SMALL.instances - inside.length);
    fleet.isCut = () => false;
    await fleet.advance(2_000);
    t.is(fleet.countInForce(3), SMALL.instances);
    inside.forEach(instance => instance.isStoreReachable = true);
    await fleet.advance(4_000);
    assertNoViolations(t, fleet);
});

test.serial("a second return before the first is noticed everywhere loses writes", async t => {
    using fleet = await startFleet(SMALL);
    const copy = fleet.platform.copy();
    await writeLostItems(fleet);
    const [frozen] = fleet.instances;
    await fleet.restoreStore(copy, AWAY_MS);
    frozen?.clock.pause();
    await fleet.advance(1_000);
    await fleet.restoreStore(copy, 300);
    await fleet.advance(REWRITE_AFTER_MS);
    frozen?.clock.resume();
    fleet.rewriteOperatorItems();
    fleet.writeConfiguration(3);
    await fleet.advance(2_500);
    t.is(fleet.countInForce(3), SMALL.instances);
    assertNoViolations(t, fleet);
});

test.serial("a return in the middle of a rollout brings the lost configuration's predecessor back", async t => {
    using fleet = await startFleet(SMALL);
    const copy = fleet.platform.copy();
    await writeLostItems(fleet);
    for (let index = 0; index < SMALL.instances; index++) {
        fleet.startInstance(index);
        await fleet.advance(700);
        if (index === 2) {
            await fleet.restoreStore(copy, 500);
        }
    }
    await fleet.advance(3_000);
    t.is(fleet.countInForce(2), SMALL.instances);
    fleet.rewriteOperatorItems();
    fleet.writeConfiguration(3);
    await fleet.advance(2_000);
    t.is(fleet.countInForce(3), SMALL.instances);
    assertNoViolations(t, fleet);
});

test.serial("a server that the copy lacks and that has ended stays in use for ever", async t => {
    using fleet = await startFleet(SMALL);
    const copy = fleet.platform.copy();
    fleet.addServer("server-900");
    await fleet.clock.advance(2_000);
    fleet.crashServer("server-900");
    await fleet.restoreStore(copy, AWAY_MS);
    await fleet.clock.advance(1_500);
    t.true(fleet.instances.every(({ servers }) => servers.includes("server-900")));
    // Its life of three seconds begins as an instance notices the return, at most a second and a half after it.
    await fleet.clock.advance(3_000);
    t.false(fleet.instances.some(({ servers }) => servers.includes("server-900")));
});

test.serial("a store that names no era asks for endless reads after its return", async t => {
    using fleet = await startFleet({ ...SMALL, namesEra: false });
    const copy = fleet.platform.copy();
    await writeLostItems(fleet);
    await fleet.restoreStore(copy, AWAY_MS);
    const returnedMs = fleet.clock.nowMs();
    await fleet.advance(REWRITE_AFTER_MS);
    fleet.rewriteOperatorItems();
    fleet.writeConfiguration(3);
    fleet.addServer("server-902");
    fleet.checkedFromMs = fleet.clock.nowMs() + 2_000;
    await fleet.advance(2_500);
    t.is(fleet.countInForce(3), SMALL.instances);
    t.true(fleet.instances.every(({ servers }) => servers.includes("server-902")));
    t.true(fleet.calls.filter(({ atMs }) => atMs >= returnedMs).length <= SMALL.instances * 15);
    assertNoViolations(t, fleet);
});
