import {
    type Address,
    branded,
    createRandomSource,
    type DataCentreId,
    EventLog,
    type InstanceId,
    type Revision,
    type StoreEra,
} from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import type { PublishedRead, PublishedState, WatchResult } from "../../types/publishedState.ts";
import type { PeerReport } from "../peerReport.ts";
import { PlatformWatcher } from "../platformWatcher.ts";
import { PublishedStateStore } from "../publishedStateStore.ts";
import { type ReportingPeer, StateCatchUp } from "../stateCatchUp.ts";
import { configuration, LONE_WATCH } from "./directFixture.ts";

const createStore = () => {
    const clock = new VirtualClock();
    const events = new EventLog({ clock, instance: "entry-1" });
    const store = new PublishedStateStore({
        clock,
        events,
        decode: (key, text) =>
            key === "config"
                ? { kind: "configuration", configuration: configuration({ version: Number(text) }) }
                : { kind: "outDataCentre", dataCentre: branded<DataCentreId>(text) },
    });
    return { store, runtime: { clock, events, random: createRandomSource(1) } };
};

const readAt = (era: number, revision: number, items: Readonly<Record<string, string>>) => ({
    era: branded<StoreEra>(era),
    revision: branded<Revision>(revision),
    items: Object.entries(items).map(([key, text]) => ({ key, text, revision: branded<Revision>(revision) })),
});

test.serial("answers of an earlier era that arrive late undo what is known", async t => {
    const { runtime, store } = createStore();
    const reads: ((read: PublishedRead) => void)[] = [];
    const watches: { readonly after: number; readonly answer: (result: WatchResult) => void; }[] = [];
    const source = {
        readAll: () => new Promise<PublishedRead>(resolve => reads.push(resolve)),
        watch: (after: Revision) => new Promise<WatchResult>(answer => watches.push({ after, answer })),
        reconnect: () => {},
        decode: () => ({ kind: "ignored" }) as const,
    };
    using watcher = new PlatformWatcher({ runtime, source, store, fleetSize: () => 1, ...LONE_WATCH });
    void watcher.run();
    await runtime.clock.advance(0);
    reads.shift()?.(readAt(1, 20, { config: "2" }));
    await runtime.clock.advance(10);
    t.is(watches.at(-1)?.after, 20);
    // Another instance has read in the next era before the watch is answered.
    store.replace(readAt(2, 12, { config: "1", out: "centre-1" }), "peer");
    const revision = branded<Revision>(21);
    watches.shift()?.answer({
        kind: "changes",
        era: branded<StoreEra>(1),
        revision,
        changes: [{ key: "out", text: undefined, revision }],
    });
    await runtime.clock.advance(10);
    t.deepEqual(store.version, { era: branded<StoreEra>(2), revision: branded<Revision>(12) });
    t.is(watches.at(-1)?.after, 12);
    t.is(store.outDataCentres().size, 1);
    t.is(store.configurationVersion, 2);
    // Changes of the next era, without a lost history, since its counter has passed the known revision.
    watches.shift()?.answer({
        kind: "changes",
        era: branded<StoreEra>(3),
        revision,
        changes: [{ key: "out", text: undefined, revision }],
    });
    await runtime.clock.advance(1_500);
    t.is(store.outDataCentres().size, 1, "changes of another era are applied");
    reads.shift()?.(readAt(3, 22, { config: "1", out: "centre-1" }));
    await runtime.clock.advance(10);
    t.is(Number(store.era), 3);
    // A server of the store that has not noticed yet answers from the era before.
    watches.shift()?.answer({ kind: "historyLost", era: branded<StoreEra>(2) });
    await runtime.clock.advance(100);
    t.true(watcher.isFailing);
    t.is(reads.length, 0);
    t.false(store.replace(readAt(1, 30, { config: "1" }), "platform"));
    t.is(store.outDataCentres().size, 1);
});

const peerWith = (changes: Partial<PeerReport>): ReadonlyMap<Address, ReportingPeer> => {
    const report: PeerReport = {
        instance: branded<InstanceId>("entry-2"),
        incarnation: branded("life"),
        dataCentre: branded<DataCentreId>("here"),
        era: undefined,
        revision: branded<Revision>(0),
        revisionBeforeReturn: branded<Revision>(0),
        configurationVersion: 0,
        stateAgeMs: 0,
        running: new Map(),
        groupUpMs: new Map(),
        members: [],
        heardInstances: 1,
        ...changes,
    };
    return new Map([[branded<Address>("10.9.0.2:7340"), { report, lastReportMs: 0, isAlive: true }]]);
};

test.serial("a configuration that only an instance of the era before knows is lost", async t => {
    const { runtime, store } = createStore();
    const catchUp = new StateCatchUp({
        runtime,
        store,
        peers: () =>
            peerWith({ era: branded<StoreEra>(1), revision: branded<Revision>(30), configurationVersion: 2 }),
        expectsOthers: () => false,
        isStoreSilent: () => false,
        fetchState: async () => readAt(1, 30, { config: "2", out: "centre-1" }) as unknown as PublishedState,
        onFetched: () => {},
    });
    store.replace(readAt(2, 15, { config: "1" }), "platform");
    await catchUp.catchUp(new AbortController().signal);
    t.deepEqual(store.version, { era: branded<StoreEra>(2), revision: branded<Revision>(15) });
    t.is(store.configurationVersion, 2);
    t.is(store.outDataCentres().size, 0);
});

test.serial("an instance that reports more than it hands on is asked without end", async t => {
    const { runtime, store } = createStore();
    let fetches = 0;
    const catchUp = new StateCatchUp({
        runtime,
        store,
        peers: () =>
            peerWith({ era: branded<StoreEra>(1), revision: branded<Revision>(20), configurationVersion: 9 }),
        expectsOthers: () => false,
        isStoreSilent: () => false,
        fetchState: async () => {
            fetches++;
            return readAt(1, 20, { config: "1" }) as unknown as PublishedState;
        },
        onFetched: () => {},
    });
    store.replace(readAt(1, 20, { config: "1" }), "platform");
    for (let cycle = 0; cycle < 300; cycle++) {
        await catchUp.catchUp(new AbortController().signal);
        await runtime.clock.advance(200);
    }
    t.true(fetches >= 5 && fetches <= 20, `${fetches} fetches in a minute`);
});

test.serial("a newer configuration waits behind fetches that brought nothing new", async t => {
    const { runtime, store } = createStore();
    let written = 1;
    let reported = 9;
    const catchUp = new StateCatchUp({
        runtime,
        store,
        peers: () =>
            peerWith({
                era: branded<StoreEra>(1),
                revision: branded<Revision>(19 + written),
                configurationVersion: reported,
            }),
        expectsOthers: () => false,
        isStoreSilent: () => false,
        fetchState: async () =>
            readAt(1, 19 + written, { config: `${written}` }) as unknown as PublishedState,
        onFetched: () => {},
    });
    store.replace(readAt(1, 20, { config: "1" }), "platform");
    const { signal } = new AbortController();
    const hearReports = async (durationMs: number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
            await catchUp.catchUp(signal);
            await runtime.clock.advance(200);
        }
    };
    // A report that no state bears out.
    await hearReports(20_000);
    written = 10;
    reported = 10;
    // One report, the time that the store has to deliver the change first, and the fetch.
    await hearReports(1_000);
    t.is(store.configurationVersion, 10);
});

test.serial("a report without an era leads back to the era of before", async t => {
    const { runtime, store } = createStore();
    const fetched: Address[] = [];
    const peers = peerWith({ era: undefined, revision: branded<Revision>(30) });
    const catchUp = new StateCatchUp({
        runtime,
        store,
        peers: () => peers,
        expectsOthers: () => false,
        isStoreSilent: () => false,
        // An earlier release hands on items and revision only.
        fetchState: async address => {
            fetched.push(address);
            const { items, revision } = readAt(0, 30, { config: "2" });
            return { items, revision } as unknown as PublishedState;
        },
        onFetched: () => {},
    });
    store.replace(readAt(1, 20, { config: "1" }), "platform");
    await catchUp.catchUp(new AbortController().signal);
    t.deepEqual(store.version, { era: branded<StoreEra>(1), revision: branded<Revision>(30) });
    t.is(store.configurationVersion, 2);
    store.replace(readAt(2, 15, { config: "1" }), "platform");
    await catchUp.catchUp(new AbortController().signal);
    await runtime.clock.advance(1_000);
    await catchUp.catchUp(new AbortController().signal);
    t.is(fetched.length, 1);
    t.is(store.revision, branded<Revision>(15));
    t.is(store.configurationVersion, 2);
});

test.serial("a store that has lost its history for good is read without a pause", async t => {
    const { runtime, store } = createStore();
    let reads = 0;
    using watcher = new PlatformWatcher({
        runtime,
        store,
        fleetSize: () => 7,
        ...LONE_WATCH,
        source: {
            readAll: async () => {
                reads++;
                return readAt(1, 20, { config: "1" });
            },
            watch: async () => ({ kind: "historyLost", era: branded<StoreEra>(1) }),
            reconnect: () => {},
            decode: () => ({ kind: "ignored" }),
        },
    });
    void watcher.run();
    await runtime.clock.advance(10_000);
    t.true(reads >= 5 && reads <= 11, `${reads} reads`);
});

test("a state that was read before an item was written does not remove the item", t => {
    const { store } = createStore();
    const itemAt = (key: string, revision: number) => ({
        key,
        text: key,
        revision: branded<Revision>(revision),
    });
    const state = (revision: number, ...items: readonly ReturnType<typeof itemAt>[]) => ({
        ...readAt(1, revision, {}),
        items,
    });
    // The pages of one read are no snapshot: a later page may hold what was written after the first.
    store.replace(state(5, itemAt("early", 4), itemAt("late", 7)), "platform");
    t.deepEqual([...store.outDataCentres()].sort(), ["early", "late"]);
    store.replace(state(6, itemAt("early", 4)), "peer");
    t.deepEqual([...store.outDataCentres()].sort(), ["early", "late"]);
    store.replace(state(8, itemAt("early", 4)), "peer");
    t.deepEqual([...store.outDataCentres()], ["early"]);
});
