import { EventLog } from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import { rankRecovered, rankSlow } from "../mapsEvents.ts";
import { SlowRankDetector } from "../slowRankDetector.ts";

const createDetector = () => {
    const events = new EventLog({ clock: new VirtualClock(), instance: "agent" });
    return { events, detector: new SlowRankDetector({ events }) };
};

/** Creates the work of four ranks: `slowFactor` makes rank 1 slow, `hotLoad` makes rank 2 hot. */
const workWith = (changes: { readonly slowFactor?: number; readonly hotLoad?: number; }) =>
    [1, 1, changes.hotLoad ?? 1, 1].map((load, rank) => ({
        expectedMs: 10 * load,
        busyMs: 10 * load * (rank === 1 ? changes.slowFactor ?? 1 : 1),
    }));

test("a hot rank does not count as slow", t => {
    const { detector, events } = createDetector();
    for (let report = 0; report < 20; report++) {
        detector.add(workWith({ hotLoad: 3 }));
    }
    t.deepEqual(detector.slowRanks, []);
    t.deepEqual(events.recent(), []);
});

test("a slow rank is reported once, and again when it has recovered", t => {
    const { detector, events } = createDetector();
    for (let report = 0; report < 20; report++) {
        detector.add(workWith({ slowFactor: 1.6, hotLoad: 2 }));
    }
    t.deepEqual(detector.slowRanks, [1]);
    for (let report = 0; report < 20; report++) {
        detector.add(workWith({}));
    }
    t.deepEqual(detector.slowRanks, []);
    t.deepEqual(events.recent().map(({ definition }) => definition), [rankSlow, rankRecovered]);
});

test("a single slow report does not make a rank slow", t => {
    const { detector } = createDetector();
    detector.add(workWith({ slowFactor: 2 }));
    detector.add(workWith({}));
    detector.add(workWith({}));
    detector.add(workWith({}));
    t.deepEqual(detector.slowRanks, []);
});
