import { type Address, branded, ProtocolError, type StoreEra } from "@magnolialock/kernel";
import test from "ava";
import * as fc from "fast-check";
import { decodePublishedState, decodeServerGroup } from "../decodePeerAnswers.ts";
import { EventStreamSplitter } from "../eventStreamSplitter.ts";
import { decodePeerReport } from "../peerReport.ts";
import { readServerLimit } from "../serverLimitHeader.ts";
import { readLeaving, readRest } from "../serverNotices.ts";
import { DirectFixture, DRAFTS, ORDERS } from "./directFixture.ts";
import { DirectFleet } from "./directFleet.ts";

const SEED = 13;
const ERA = branded<StoreEra>(0);

/** Bytes of which up to six are replaced, and the end may be cut off. */
const mutatedBytes = (valid: Uint8Array): fc.Arbitrary<Uint8Array> =>
    fc.tuple(
        fc.array(fc.tuple(fc.nat(valid.length - 1), fc.integer({ min: 0, max: 255 })), { maxLength: 6 }),
        fc.nat(valid.length),
    ).map(([edits, cut]) => {
        const copy = valid.slice(0, valid.length - (cut % 5 === 0 ? cut : 0));
        edits.forEach(([at, byte]) => copy.fill(byte, at, at + 1));
        return copy;
    });

/** A JSON value in which one nested value is replaced. */
const mutatedJson = (valid: unknown): fc.Arbitrary<unknown> =>
    fc.tuple(
        fc.nat(40),
        fc.oneof(fc.jsonValue({ maxDepth: 3 }), fc.double(), fc.constantFrom(-1, 1e300, "x")),
    )
        .map(([at, value]) => {
            let index = 0;
            return JSON.parse(JSON.stringify(valid), (_key, old: unknown) => index++ === at ? value : old);
        });

test("no datagram makes the decoder of reports fail", t => {
    using fleet = new DirectFleet({ instances: 7, servers: 12 });
    const [entry] = fleet.entries;
    entry?.context.limits.applyNews(new Map([[7, { perS: 1.5, ageMs: 10 }]]));
    entry?.store.leaving.merge([1, 2, 3]);
    const bytes = entry?.exchange.encodeReport(true) ?? new Uint8Array();
    t.truthy(decodePeerReport(bytes)?.news);
    fc.assert(
        fc.property(fc.oneof(fc.uint8Array({ maxLength: 300 }), mutatedBytes(bytes)), datagram => {
            const report = decodePeerReport(datagram);
            return report === undefined || Number.isFinite(report.heardInstances);
        }),
        { seed: SEED, numRuns: 3_000 },
    );
});

test.serial("a fleet that gets corrupted datagrams goes on serving", async t => {
    using fleet = new DirectFleet({ instances: 7, servers: 12, dataCentres: 3 });
    await fleet.clock.advance(3_000);
    const [entry] = fleet.entries;
    const valid = entry?.exchange.encodeReport(true) ?? new Uint8Array();
    const datagrams = fc.sample(mutatedBytes(valid), { seed: SEED, numRuns: 500 });
    const startMs = fleet.clock.nowMs();
    for (const datagram of datagrams) {
        const receiver = fleet.entries[fleet.random.nextInt(0, 6)];
        receiver?.exchange.receive(fleet.addressOf(fleet.random.nextInt(0, 6)), datagram);
        await fleet.sendFor(20, 100, () => ["c0"]);
    }
    t.true(fleet.begunShare(startMs, fleet.clock.nowMs() - 500) >= 0.99);
    t.true(fleet.entries.every(({ exchange }) => exchange.fleet.size <= 4_096));
});

test("a report that claims a fleet of billions leaves limits to share", t => {
    using fleet = new DirectFleet({ instances: 2, servers: 1 });
    const [entry, other] = fleet.entries;
    const report = decodePeerReport(other?.exchange.encodeReport(false) ?? new Uint8Array());
    t.is(report?.heardInstances, 1);
    // Field 10 of the report, as a varint.
    const bytes = other?.exchange.encodeReport(false) ?? new Uint8Array();
    const at = bytes.lastIndexOf(0x50);
    const claimed = Uint8Array.from([
        ...bytes.slice(0, at),
        0x50,
        0xff,
        0xff,
        0xff,
        0xff,
        0x0f,
        ...bytes.slice(at + 2),
    ]);
    t.is(decodePeerReport(claimed)?.heardInstances, 0xff_ff_ff_ff);
    entry?.exchange.receive(branded<Address>("10.9.0.2:7340"), claimed);
    t.is(entry?.exchange.fleet.size, 4_096);
});

test("a published state that cannot be read is an error and harms nothing", t => {
    const giver = new DirectFixture();
    giver.addServers(ORDERS, "a", "bb");
    giver.addServers(DRAFTS, "ccc");
    giver.remove("a");
    giver.store.leaving.merge([5]);
    const valid: unknown = JSON.parse(JSON.stringify(giver.store.export()));
    t.deepEqual(decodePublishedState(valid, ERA) as unknown, valid);
    fc.assert(
        fc.property(fc.oneof(fc.jsonValue({ maxDepth: 4 }), mutatedJson(valid)), json => {
            try {
                const state = decodePublishedState(json, ERA);
                new DirectFixture().store.inherit(state);
                new DirectFixture().store.replace(state, "peer");
                return true;
            }
            catch (error) {
                return error instanceof ProtocolError;
            }
        }),
        { seed: SEED, numRuns: 1_500 },
    );
});

test("the state of an earlier release is completed", t => {
    const state = decodePublishedState({ revision: 3, items: [{ key: "a", text: "x", revision: 2 }] }, ERA);
    t.deepEqual(state.leaving, []);
    t.is(state.items[0]?.era, ERA);
    t.is(state.ageMs, 0);
});

test("the group that a rank agent names is decoded or refused", t => {
    t.deepEqual(decodeServerGroup({ isOpen: true, name: "g1", epoch: 4 }), {
        isOpen: true,
        name: "g1",
        epoch: 4,
    });
    t.deepEqual(decodeServerGroup({ isOpen: false }), { isOpen: false, name: undefined, epoch: undefined });
    fc.assert(
        fc.property(fc.oneof(fc.jsonValue(), mutatedJson({ isOpen: true, name: "g1", epoch: 4 })), json => {
            try {
                const { isOpen, name } = decodeServerGroup(json);
                return typeof isOpen === "boolean" && (name === undefined || name !== "");
            }
            catch (error) {
                return error instanceof ProtocolError;
            }
        }),
        { seed: SEED, numRuns: 1_000 },
    );
});

test("no header makes the readers of servers' words fail", t => {
    const text = fc.oneof(
        fc.string({ unit: "binary" }),
        fc.double().map(String),
        fc.constantFrom("1", "2.5"),
    );
    const value = fc.oneof(text, fc.array(text, { maxLength: 3 }));
    fc.assert(
        fc.property(value, text, (header, date) => {
            const head = { status: 503, headers: { "x-word": header, "retry-after": header, date } };
            const rest = readRest(head);
            const limit = readServerLimit(head, "x-word");
            return readLeaving(head, "x-word").kind !== "none"
                && (rest.kind !== "rest" || rest.forMs >= 0 && rest.forMs <= 3_600_000)
                && (limit.kind !== "limit" || limit.perS >= 0 && Number.isFinite(limit.perS));
        }),
        { seed: SEED, numRuns: 2_000 },
    );
    t.pass();
});

test("no bytes make the splitter of events fail, and it loses none", t => {
    fc.assert(
        fc.property(fc.array(fc.uint8Array({ maxLength: 60 }), { maxLength: 8 }), chunks => {
            const splitter = new EventStreamSplitter();
            const events = chunks.flatMap(chunk => [...splitter.push(Buffer.from(chunk))]);
            const total = chunks.reduce((sum, { length }) => sum + length, 0);
            return events.reduce((sum, { bytes }) => sum + bytes.length, 0) + splitter.pendingBytes === total;
        }),
        { seed: SEED, numRuns: 1_000 },
    );
    t.pass();
});
