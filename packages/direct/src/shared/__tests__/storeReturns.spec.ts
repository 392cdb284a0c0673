/** A store that answers nobody for a while: what is written after its return must be in force in time everywhere. */

import test from "ava";
import { PublishedFleet } from "./publishedFleet.ts";

interface FleetCase {
    readonly instances: number;
    /** Time after its confirmation within which a configuration is in force, in milliseconds. */
    readonly applyMs: number;
    /** Durations of the silences, in milliseconds, each of them played with every phase of the watches below. */
    readonly silencesMs: readonly number[];
}

const FLEETS: readonly FleetCase[] = [
    { instances: 1, applyMs: 2_000, silencesMs: [1_000, 5_000, 9_000] },
    { instances: 7, applyMs: 2_000, silencesMs: [300, 1_000, 2_500, 4_000, 6_000, 9_000, 12_000, 14_000] },
    { instances: 35, applyMs: 3_000, silencesMs: [2_500, 12_000] },
    { instances: 99, applyMs: 4_000, silencesMs: [9_000] },
    { instances: 400, applyMs: 6_000, silencesMs: [9_000] },
];
const SETTLE_MS = 10_000;
/** Times between the change before a silence and its begin, which change the phases of the watches, in milliseconds. */
const SINCE_CHANGE_MS = [100, 900, 2_300, 4_100, 6_700];
/** Fleets above this size are played with one phase: they take long. */
const MAX_SMALL_FLEET = 7;
/** Versions that waited for the store, and the time between two of them: each is sent as the one before is confirmed. */
const QUEUED_VERSIONS = 12;
const CONFIRMATION_MS = 116;
/** Calls that the store answers in a second, of all instances. */
const READS_PER_S = 2_000;
/** Part of the bound that is left to slow processes and links. */
const RESERVE_SHARE = 0.5;

/** Writes what has waited for the store, and returns how long after its confirmation each version was in force at all. */
const writeQueue = async (fleet: PublishedFleet, firstVersion: number): Promise<readonly number[]> => {
    const { clock } = fleet;
    const writtenMs: number[] = [];
    const inForceMs: number[] = [];
    const startMs = clock.nowMs();
    while (inForceMs.length < QUEUED_VERSIONS && clock.nowMs() - startMs < 2 * SETTLE_MS) {
        if (
            writtenMs.length < QUEUED_VERSIONS
            && clock.nowMs() - startMs >= writtenMs.length * CONFIRMATION_MS
        ) {
            fleet.writeConfiguration(firstVersion + writtenMs.length);
            writtenMs.push(clock.nowMs());
        }
        await clock.advance(10);
        while (
            inForceMs.length < writtenMs.length
            && fleet.countInForce(firstVersion + inForceMs.length) === fleet.instances.length
        ) {
            inForceMs.push(clock.nowMs());
        }
    }
    return writtenMs.map((atMs, index) => (inForceMs[index] ?? Number.POSITIVE_INFINITY) - atMs);
};

for (const { applyMs, instances, silencesMs } of FLEETS) {
    // Guards against requests that are refused by an old version since nobody notices that a silent store has returned.
    test(
        `a configuration written when a silent store returns is in force in time: ${instances} instances`,
        async t => {
            using fleet = new PublishedFleet({ instances, servers: 1, dataCentres: 3, seed: instances });
            await fleet.clock.advance(SETTLE_MS);
            const late: string[] = [];
            let version = 1;
            let latestMs = 0;
            let mostCallsPerS = 0;
            for (const silenceMs of silencesMs) {
                for (
                    const sinceMs of instances > MAX_SMALL_FLEET
                        ? SINCE_CHANGE_MS.slice(1, 2)
                        : SINCE_CHANGE_MS
                ) {
                    fleet.writeConfiguration(++version);
                    await fleet.clock.advance(sinceMs);
                    await fleet.silenceStore(silenceMs);
                    const returnedMs = fleet.clock.nowMs();
                    const delaysMs = await writeQueue(fleet, version + 1);
                    mostCallsPerS = Math.max(mostCallsPerS, fleet.mostCallsPerS(returnedMs));
                    version += QUEUED_VERSIONS;
                    const longestMs = Math.max(...delaysMs);
                    latestMs = Math.max(latestMs, longestMs);
                    if (longestMs > applyMs * RESERVE_SHARE) {
                        late.push(
                            `${longestMs} ms, silent for ${silenceMs} ms, ${sinceMs} ms after a change`,
                        );
                    }
                    await fleet.clock.advance(SETTLE_MS);
                }
            }
            t.log(`in force everywhere ${latestMs} ms after the confirmation at the latest`);
            t.log(
                `at most ${mostCallsPerS} calls in a second after the return, ${fleet.calls.length} in all`,
            );
            t.true(mostCallsPerS <= READS_PER_S);
            t.deepEqual(late, []);
        },
    );
}

// Guards against an old version in force since instances pause between calls that the store refuses.
test("a configuration written when a store that refused all calls returns is in force in time", async t => {
    using fleet = new PublishedFleet({ instances: 7, servers: 1, dataCentres: 3, seed: 7 });
    await fleet.clock.advance(SETTLE_MS);
    const latestMs: number[] = [];
    let version = 1;
    for (const refusedMs of [300, 1_000, 2_500, 4_000, 9_000]) {
        fleet.isStoreDown = true;
        fleet.life++;
        await fleet.clock.advance(refusedMs);
        fleet.isStoreDown = false;
        latestMs.push(Math.max(...await writeQueue(fleet, version + 1)));
        version += QUEUED_VERSIONS;
        await fleet.clock.advance(SETTLE_MS);
    }
    t.log(`in force everywhere after ${latestMs.join(", ")} ms at the latest`);
    t.true(Math.max(...latestMs) <= 2_000 * RESERVE_SHARE);
});

// Guards against requests that are refused since a sound server counts as gone shortly before its entry is read again.
test("a server that publishes itself two seconds after the return counts as gone for a moment", async t => {
    using fleet = new PublishedFleet({ instances: 7, servers: 2, dataCentres: 3, seed: 1 });
    const { clock } = fleet;
    await clock.advance(SETTLE_MS);
    fleet.silentSinceMs = Number.POSITIVE_INFINITY;
    await clock.advance(4_000);
    // Its writes do not reach the store, which removes its entry.
    fleet.crashServer("server-0");
    fleet.platform.remove("servers/server-0");
    await clock.advance(4_000);
    fleet.silentSinceMs = clock.nowMs();
    const missing: string[] = [];
    for (let sinceMs = 0; sinceMs < 4_000; sinceMs += 50) {
        if (sinceMs === 1_950) {
            fleet.writeConfiguration(2);
        }
        if (sinceMs === 2_000) {
            fleet.platform.put("servers/server-0", "ready");
        }
        await clock.advance(50);
        for (const { name, servers } of fleet.instances) {
            if (!servers.includes("server-0")) {
                missing.push(`${name} after ${sinceMs + 50} ms`);
            }
        }
    }
    t.deepEqual(missing, []);
});
