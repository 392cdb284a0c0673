import {
    branded,
    EventLog,
    formatRevision,
    parseRevision,
    type Revision,
    seedFaults,
    toRulesRevision,
} from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import { ConfigurationStore } from "../configurationStore.ts";

const revision = (value: number): Revision => branded<Revision>(value);
const good = (name: string): Uint8Array => Buffer.from(`data-centre ${name} region=nordeste # ana\n`);
const bad = Buffer.from("nonsense\n");

const createStore = (): ConfigurationStore =>
    new ConfigurationStore({ events: new EventLog({ clock: new VirtualClock(), instance: "test" }) });

test.serial("a lower revision never replaces a higher one", t => {
    const store = createStore();
    t.is(store.offer(revision(9), good("recife"), "test"), "accepted");
    t.is(store.offer(revision(7), good("natal"), "test"), "old");
    t.is(Number(store.current?.revision), 9);
});

test.serial("with the seeded fault a lower revision is accepted, so the test above can fail", t => {
    using _fault = seedFaults(["control.accept-lower-revision"]);
    const store = createStore();
    store.offer(revision(9), good("recife"), "test");
    t.is(store.offer(revision(7), good("natal"), "test"), "accepted");
});

test.serial("a rejected revision leaves the accepted one in force", t => {
    const store = createStore();
    store.offer(revision(9), good("recife"), "test");
    t.is(store.offer(revision(10), bad, "test"), "rejected");
    t.is(Number(store.current?.revision), 9);
    t.is(Number(store.rejected?.revision), 10);
    t.true((store.rejected?.findings.length ?? 0) > 0);
});

test.serial("the confirmation time only increases, and listeners are called once per increase", t => {
    const store = createStore();
    const seen: number[] = [];
    using _subscription = store.onConfirmed(atMs => seen.push(atMs));
    store.confirm(100);
    store.confirm(50);
    store.confirm(100);
    store.confirm(120);
    t.deepEqual(seen, [100, 120]);
    t.is(store.confirmedAtMs, 120);
});

test.serial("the era of the rule file comes before the platform's number, for rejected files too", t => {
    const store = createStore();
    const withEra = (bytes: Uint8Array, era: number): Uint8Array =>
        Buffer.concat([bytes, Buffer.from(`platform era=${era} # ana: restored\n`)]);
    t.deepEqual(store.offerPublished(revision(9), good("recife")), {
        outcome: "accepted",
        revision: revision(9),
    });
    t.is(store.offerPublished(revision(4), good("natal")).outcome, "old");
    t.is(store.offerPublished(revision(4), withEra(good("natal"), 1)).outcome, "accepted");
    t.is(store.current?.revision, toRulesRevision(1, 4));
    t.is(store.offerPublished(revision(9), withEra(bad, 1)).outcome, "rejected");
    t.is(store.rejected?.revision, toRulesRevision(1, 9));
    t.is(store.offerPublished(revision(50), good("recife")).outcome, "old");
    t.is(store.offer(toRulesRevision(1, 3), good("recife"), "peer"), "old");
});

test("revisions are shown with their era and read as they are shown", t => {
    for (const [shown, value] of [["7", toRulesRevision(0, 7)], ["3:12", toRulesRevision(3, 12)]] as const) {
        t.is(formatRevision(value), shown);
        t.is(parseRevision(shown), value);
    }
    t.is(parseRevision("seven"), undefined);
    t.is(parseRevision("1:"), undefined);
});
