/** Open connections to the store that fall silent while new ones work: a configuration must come into force in time. */

import test from "ava";
import { PublishedFleet } from "./publishedFleet.ts";

/** Bounds of the rules for a fleet of a size, in milliseconds. */
interface Bounds {
    /** Time after its confirmation within which a configuration is in force. */
    readonly applyMs: number;
    /** Time after a reset of their connections from which instances must keep to it. */
    readonly stableMs: number;
    /** Mean time between two calls of one instance before the watches were spread, in milliseconds. */
    readonly formerPeriodMs: number;
}

const FLEETS: Readonly<Record<number, Bounds>> = {
    3: { applyMs: 2_000, stableMs: 3_000, formerPeriodMs: 3_750 },
    7: { applyMs: 2_000, stableMs: 3_000, formerPeriodMs: 3_750 },
    35: { applyMs: 3_000, stableMs: 4_000, formerPeriodMs: 13_250 },
    46: { applyMs: 3_000, stableMs: 4_000, formerPeriodMs: 13_250 },
    99: { applyMs: 4_000, stableMs: 5_000, formerPeriodMs: 13_250 },
    400: { applyMs: 6_000, stableMs: 6_000, formerPeriodMs: 13_250 },
};
const SETTLE_MS = 12_000;
/** Fleets up to this size are tried at all moments, larger ones at a few: they take long to play. */
const MAX_SMALL_FLEET = 7;
/** Times between the last change and the silence, which change the phases of the watches, in milliseconds. */
const SINCE_CHANGE_MS = [0, 100, 350, 700, 1_300, 2_100, 2_900, 3_700, 5_200, 8_000, 13_000];
/** Times between the silence and the next change, in milliseconds; negative if the change comes first. */
const UNTIL_CHANGE_MS = [-3, 100, 1_000, 2_500];

const startFleet = async (instances: number, seed: number): Promise<PublishedFleet> => {
    const fleet = new PublishedFleet({ instances, servers: 1, dataCentres: 3, seed });
    await fleet.clock.advance(SETTLE_MS);
    return fleet;
};

const silence = (fleet: PublishedFleet): void => {
    fleet.silentSinceMs = fleet.clock.nowMs();
};

/** Instances that do not have a version in force when it is due after a silence. */
const countLate = async (
    fleet: PublishedFleet,
    { applyMs, stableMs }: Bounds,
    untilChangeMs: number,
    version: number,
): Promise<number> => {
    const { clock } = fleet;
    if (untilChangeMs < 0) {
        fleet.writeConfiguration(version);
        await clock.advance(-untilChangeMs);
        silence(fleet);
    }
    else {
        silence(fleet);
        await clock.advance(untilChangeMs);
        fleet.writeConfiguration(version);
    }
    const changedMs = untilChangeMs < 0 ? clock.nowMs() + untilChangeMs : clock.nowMs();
    const dueMs = Math.max(changedMs + applyMs, fleet.silentSinceMs + stableMs);
    await clock.advance(dueMs - clock.nowMs());
    return fleet.instances.filter(({ version: known }) => known < version).length;
};

for (const [size, bounds] of Object.entries(FLEETS)) {
    const instances = Number(size);
    const isSmall = instances <= MAX_SMALL_FLEET;
    const isLarge = instances >= 99;
    const fewMs = isLarge ? [2_100] : [350, 5_200];
    const sinceChangeMs = isSmall ? SINCE_CHANGE_MS : fewMs;
    /** Length of the time in which calls are counted, in milliseconds. */
    const countedMs = isSmall ? 60_000 : 26_500;

    // Guards against a key that is still served after it was taken away since all watches wait on silent connections.
    test(`connections to the store that fall silent hold a configuration back: ${instances} instances`, async t => {
        using fleet = await startFleet(instances, instances);
        let version = 1;
        const late: string[] = [];
        for (const sinceMs of sinceChangeMs) {
            for (const untilMs of isSmall ? UNTIL_CHANGE_MS : [100]) {
                fleet.writeConfiguration(++version);
                await fleet.clock.advance(sinceMs);
                const count = await countLate(fleet, bounds, untilMs, ++version);
                if (count > 0) {
                    late.push(
                        `${count} late, silent ${sinceMs} ms after a change, ${untilMs} ms before the next`,
                    );
                }
                await fleet.clock.advance(SETTLE_MS / 2);
            }
        }
        t.deepEqual(late, []);
    });

    if (isLarge) {
        continue;
    }
    test(`noticing a silence costs calls to the store: ${instances} instances`, async t => {
        using fleet = await startFleet(instances, instances);
        const before = fleet.calls.length;
        await fleet.clock.advance(countedMs);
        const calls = fleet.calls.length - before;
        t.log(`${calls} calls in ${countedMs / 1_000} s`);
        t.true(calls <= instances * countedMs / bounds.formerPeriodMs, `${calls} calls`);
    });
}

test("an instance that ends with the silence leaves nobody to notice it", async t => {
    const bounds = FLEETS[7] as Bounds;
    let version = 1;
    for (let index = 0; index < 7; index++) {
        using fleet = await startFleet(7, 70 + index);
        fleet.writeConfiguration(++version);
        await fleet.clock.advance(900 * index);
        fleet.instances[index]?.kill();
        const late = await countLate(fleet, bounds, 100, ++version);
        t.true(late <= 1, `instance ${index}: ${late} late`);
    }
});
