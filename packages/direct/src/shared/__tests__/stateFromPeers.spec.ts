/** Guards against configurations that reach an instance too late when the store does not tell it, in fleets of any size. */

import test from "ava";
import { PublishedFleet } from "./publishedFleet.ts";
import type { StateInstance } from "./stateInstance.ts";

interface FleetCase {
    readonly instances: number;
    /** Time after its confirmation within which a configuration is in force, in milliseconds. */
    readonly applyMs: number;
    readonly versions: number;
}

const FLEETS: readonly FleetCase[] = [
    { instances: 7, applyMs: 2_000, versions: 8 },
    { instances: 46, applyMs: 3_000, versions: 3 },
    { instances: 99, applyMs: 4_000, versions: 2 },
    // As many instances as the bench plays of a site whose bound is that of seven.
    { instances: 300, applyMs: 2_000, versions: 1 },
];
const SETTLE_MS = 6_000;
const SERVERS = 40;
/** One in so many instances hears nothing from the store. */
const DEAF_EVERY = 7;

/** Ways in which an instance hears nothing from the store. */
const DEAFNESS: Readonly<Record<string, (instance: StateInstance) => void>> = {
    "turned away by the store": instance => {
        instance.isStoreReachable = false;
        instance.watcher.restartCall();
    },
    "with a silent connection to the store": instance => {
        instance.silentSinceMs = instance.clock.nowMs();
    },
};

/** Starts a fleet whose reports are as long as under load: each instance runs a request at each server. */
const startFleet = async (instances: number, seed: number): Promise<PublishedFleet> => {
    const fleet = new PublishedFleet({ instances, servers: SERVERS, dataCentres: 3, seed });
    await fleet.clock.advance(1_000);
    fleet.instances.forEach(({ directory }) => [...directory.all()].forEach(({ health }) => health.begin()));
    await fleet.clock.advance(SETTLE_MS);
    return fleet;
};

for (const { applyMs, instances, versions } of FLEETS) {
    for (const [kind, deafen] of Object.entries(DEAFNESS)) {
        test(`a configuration reaches an instance ${kind} in time: ${instances} instances`, async t => {
            using fleet = await startFleet(instances, instances);
            const deaf = fleet.instances.filter((_, index) => index % DEAF_EVERY === 3);
            for (let version = 2; version < 2 + versions; version++) {
                deaf.forEach(deafen);
                await fleet.clock.advance(100);
                fleet.writeConfiguration(version);
                await fleet.clock.advance(applyMs);
                const late = deaf.filter(instance => instance.version < version).map(({ name }) => name);
                t.deepEqual(late, [], `version ${version}`);
                await fleet.clock.advance(137 * version);
            }
        });
    }
}

// Guards against a fetch that waits for an instance that has lost power right after it told of a version.
test("a configuration reaches an instance that the store turns away although those that knew it first have ended", async t => {
    const late: string[] = [];
    for (let seed = 1; seed <= 10; seed++) {
        using fleet = await startFleet(7, seed);
        const [deaf, ...others] = fleet.instances;
        if (!deaf) {
            throw new Error("the fleet is empty");
        }
        DEAFNESS["turned away by the store"]?.(deaf);
        fleet.writeConfiguration(2);
        await fleet.clock.advance(450);
        others.slice(0, 4).forEach(instance => instance.kill());
        await fleet.clock.advance(2_000 - 450);
        if (deaf.version < 2) {
            late.push(`seed ${seed}`);
        }
    }
    t.deepEqual(late, []);
});

// Guards against an instance that waits on for calls into a silence, although the others are heard again.
test("a configuration reaches an instance late whose calls to the others were all lost", async t => {
    const latestMs: number[] = [];
    for (let seed = 1; seed <= 10; seed++) {
        using fleet = await startFleet(7, seed);
        const { clock } = fleet;
        const [deaf] = fleet.instances;
        if (!deaf) {
            throw new Error("the fleet is empty");
        }
        DEAFNESS["turned away by the store"]?.(deaf);
        fleet.writeConfiguration(2);
        // All calls of the instance are lost, and then nothing comes through, until the silence ends.
        const silenceMs = 150 * seed;
        await clock.advance(450);
        fleet.isCut = from => from === 0;
        await clock.advance(500);
        fleet.isCut = (from, to) => from === 0 || to === 0;
        await clock.advance(silenceMs);
        fleet.isCut = () => false;
        const returnedMs = clock.nowMs();
        while (deaf.version < 2 && clock.nowMs() - returnedMs < 5_000) {
            await clock.advance(10);
        }
        latestMs.push(clock.nowMs() - returnedMs);
    }
    t.log(`after ${latestMs.join(", ")} ms`);
    t.true(Math.max(...latestMs) <= 1_500);
});
