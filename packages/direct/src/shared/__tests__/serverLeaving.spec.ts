import { type BackendServerId, branded } from "@magnolialock/kernel";
import test from "ava";
import type { ResponseHead } from "../../types/call.ts";
import { processKey } from "../peerReport.ts";
import { readLeaving } from "../serverNotices.ts";
import { DirectFixture, DRAFTS, NAMES, ORDERS, serverEntry } from "./directFixture.ts";
import { DirectFleet, type DirectFleetOptions } from "./directFleet.ts";
import type { FleetServer } from "./fleetServer.ts";

const SMALL: DirectFleetOptions = { instances: 7, servers: 12, dataCentres: 3 };
const GROWN: DirectFleetOptions = { instances: 46, servers: 72, groups: 3, dataCentres: 4 };
const LARGE: DirectFleetOptions = { instances: 99, servers: 192, groups: 3, dataCentres: 5 };

/** Time after the first answer of a leaving server within which all instances know of it, in milliseconds. */
const FLEET_KNOWS_MS = 500;
/** Time that an instance which starts takes to learn what the others know, in milliseconds. */
const JOIN_MS = 2_000;

const draw = ({ random }: DirectFleet) => (): string[] => ["c0", `50${random.nextInt(0, 40)}`];

/** Lets a share of the servers say in all their answers that they leave. */
const letLeave = (fleet: DirectFleet, share: number, value = "1"): FleetServer[] => {
    const leaving = fleet.servers.slice(0, Math.round(fleet.servers.length * share));
    leaving.forEach(server => server.leaving = value);
    return leaving;
};

/** Requests that reached a server after the instance which sent them got an answer that said it leaves. */
const arrivalsAfterWord = ({ arrivals, leavingHeard }: DirectFleet): number => {
    const heardMs = new Map<string, number>();
    for (const { atMs, entry, serverId } of leavingHeard) {
        const key = `${entry} ${serverId}`;
        heardMs.set(key, Math.min(atMs, heardMs.get(key) ?? atMs));
    }
    return arrivals.filter(({ atMs, entry, serverId }) =>
        atMs > (heardMs.get(`${entry} ${serverId}`) ?? Number.POSITIVE_INFINITY)
    ).length;
};

const arrivalsAt = (fleet: DirectFleet, servers: readonly FleetServer[], afterMs: number): number => {
    const ids = new Set(servers.map(({ id }) => id));
    return fleet.arrivals.filter(({ atMs, serverId }) => atMs > afterMs && ids.has(serverId)).length;
};

for (const options of [SMALL, GROWN, LARGE]) {
    const perS = options.servers * 10;
    test.serial(`a server that says it leaves gets more requests: ${options.instances} instances`, async t => {
        using fleet = new DirectFleet(options);
        await fleet.clock.advance(3_000);
        await fleet.sendFor(500, perS, draw(fleet));
        const leaving = letLeave(fleet, 0.2);
        const startMs = fleet.clock.nowMs();
        await fleet.sendFor(4_000, perS, draw(fleet));
        t.true(fleet.leavingHeard.length >= leaving.length);
        t.is(arrivalsAfterWord(fleet), 0);
        for (const server of leaving) {
            const firstMs = fleet.leavingHeard.find(({ serverId }) => serverId === server.id)?.atMs
                ?? startMs;
            t.is(arrivalsAt(fleet, [server], firstMs + FLEET_KNOWS_MS), 0);
        }
        t.true(fleet.begunShare(startMs, fleet.clock.nowMs() - 500) >= 0.99);
    });
}

test.serial("instances that hear nobody follow what the servers tell them", async t => {
    using fleet = new DirectFleet(SMALL);
    await fleet.clock.advance(3_000);
    await fleet.sendFor(500, 120, draw(fleet));
    const cutOff = new Set([1, 2, 3]);
    fleet.isLost = (from, to) => cutOff.has(from) || cutOff.has(to);
    letLeave(fleet, 0.5);
    await fleet.sendFor(4_000, 120, draw(fleet));
    t.true(fleet.leavingHeard.some(({ entry }) => cutOff.has(entry)));
    t.is(arrivalsAfterWord(fleet), 0);
});

for (const options of [SMALL, GROWN]) {
    test.serial(`an instance that starts sends to servers that leave: ${options.instances} instances`, async t => {
        const perS = options.servers * 10;
        using fleet = new DirectFleet(options);
        await fleet.clock.advance(10_000);
        const leaving = letLeave(fleet, 0.2);
        await fleet.sendFor(3_000, perS, draw(fleet));
        fleet.startEntry(1);
        fleet.startEntry(4);
        await fleet.clock.advance(JOIN_MS);
        const joinedMs = fleet.clock.nowMs();
        await fleet.sendFor(3_000, perS, draw(fleet));
        t.is(arrivalsAt(fleet, leaving, joinedMs), 0);
    });
}

test.serial("an instance that was frozen while a server said it leaves learns it from the others", async t => {
    using fleet = new DirectFleet(SMALL);
    await fleet.clock.advance(5_000);
    fleet.isLost = (from, to) => from === 2 || to === 2;
    const leaving = letLeave(fleet, 0.2);
    for (let count = 0; count < 300; count++) {
        fleet.send(0, ...draw(fleet)());
        await fleet.clock.advance(10);
    }
    fleet.isLost = () => false;
    await fleet.clock.advance(JOIN_MS);
    const wokenMs = fleet.clock.nowMs();
    await fleet.sendFor(3_000, 120, draw(fleet));
    t.is(arrivalsAt(fleet, leaving, wokenMs), 0);
});

for (const keepsServerIds of [false, true]) {
    const name = keepsServerIds ? "under its identifier, born later," : "under a new identifier";
    test.serial(`a server that returns ${name} gets requests again`, async t => {
        using fleet = new DirectFleet({ ...SMALL, keepsServerIds });
        await fleet.clock.advance(3_000);
        const [server] = fleet.servers as [FleetServer];
        server.bornMs = 1;
        fleet.publishServer(server, server.id);
        server.leaving = "1";
        await fleet.sendFor(3_000, 120, draw(fleet));
        server.crash();
        server.leaving = undefined;
        server.bornMs = 2;
        await fleet.sendFor(8_000, 120, draw(fleet));
        t.true(arrivalsAt(fleet, [server], fleet.clock.nowMs() - 2_000) > 10);
    });
}

test.serial("a later answer without the header does not end the leaving", async t => {
    using fleet = new DirectFleet(SMALL);
    await fleet.clock.advance(3_000);
    const leaving = letLeave(fleet, 0.2);
    await fleet.sendFor(3_000, 120, draw(fleet));
    leaving.forEach(server => server.leaving = undefined);
    const saidMs = fleet.clock.nowMs();
    await fleet.sendFor(10_000, 120, draw(fleet));
    t.is(arrivalsAt(fleet, leaving, saidMs), 0);
});

test.serial("when all servers of a service leave, requests are refused at once until others come", async t => {
    using fleet = new DirectFleet(SMALL);
    await fleet.clock.advance(3_000);
    letLeave(fleet, 1);
    await fleet.sendFor(3_000, 120, draw(fleet));
    const emptyMs = fleet.clock.nowMs();
    await fleet.sendFor(2_000, 120, draw(fleet));
    await fleet.clock.advance(10);
    t.is(arrivalsAt(fleet, fleet.servers, emptyMs), 0);
    const late = fleet.requests.filter(({ sentMs }) => sentMs >= emptyMs);
    t.true(late.length > 100);
    for (const { reply } of late) {
        t.is(reply.status, 503);
        t.true(Number(reply.header("retry-after")) > 0);
    }
    fleet.servers.slice(0, 6).forEach(server => {
        server.crash();
        server.leaving = undefined;
    });
    await fleet.sendFor(6_000, 60, draw(fleet));
    const nowMs = fleet.clock.nowMs();
    t.true(fleet.begunShare(nowMs - 2_000, nowMs - 500) >= 0.99);
});

test.serial("a stream of a server that leaves is delivered to its end", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a", "bb");
    const first = fixture.send("draft");
    const attempt = await fixture.latestAttempt();
    attempt.sendHead(200, { "content-type": "text/event-stream", [NAMES.leaving]: "1" }).sendEvents(1, 5);
    const others = Array.from({ length: 5 }, () => fixture.send("draft"));
    await fixture.clock.advance(0);
    const laterAttempts = fixture.attempts.slice(1);
    t.is(laterAttempts.length, 5);
    t.false(laterAttempts.some(({ server }) => server === attempt.server));
    attempt.sendEvents(6, 9).complete();
    laterAttempts.forEach(later => later.startStream().sendEvents(1, 1).complete());
    await Promise.all([first, ...others].map(({ done }) => done));
    t.is(first.reply.state, "ended");
    t.true(first.reply.text.includes("id: 9"));
});

for (
    const [name, sendHead] of Object.entries({
        "of another request": { [NAMES.requestId]: "another" },
        "of another server at the address": { [NAMES.requestId]: undefined, status: "421" },
    })
) {
    test.serial(`the leaving in an answer ${name} is not the server's`, async t => {
        const fixture = new DirectFixture();
        fixture.addServers(ORDERS, "a");
        const { done } = fixture.send("booking");
        const { status = "200", ...headers } = sendHead as Record<string, string | undefined>;
        const attempt = await fixture.latestAttempt();
        attempt.respond(Number(status), "", { ...headers, [NAMES.leaving]: "1" });
        await fixture.runUntilSettled(done);
        const [server] = [...fixture.directory.all()];
        t.false(fixture.store.leaving.has(server?.processKey ?? 0));
    });
}

test("only the value 1 says that a server leaves; other values are unreadable", t => {
    const read = (value: ResponseHead["headers"][string]): string =>
        readLeaving({ status: 200, headers: { "x-leaving": value } }, "x-leaving").kind;
    t.is(read(undefined), "none");
    t.is(read("1"), "leaving");
    t.is(read(" 1 "), "leaving");
    t.is(read(["1", "1"]), "leaving");
    t.is(read("1, 0"), "leaving");
    for (const value of ["", "0", "true", "01", "1.0", "-1", ["0", "0"], "9".repeat(400)]) {
        t.is(read(value), "unreadable", String(value));
    }
});

test.serial("a server that starts again under its identifier is a new one", async t => {
    const fixture = new DirectFixture();
    const publish = (bornMs: number): void =>
        fixture.publish("a", { kind: "server", server: serverEntry("a", ORDERS, { bornMs }) });
    publish(1);
    const first = fixture.send("booking");
    (await fixture.latestAttempt()).respond(421, "", { [NAMES.requestId]: undefined });
    await fixture.runUntilSettled(first.done);
    t.is(fixture.directory.candidates(ORDERS).length, 0);
    publish(1);
    t.is(fixture.directory.candidates(ORDERS).length, 0);
    publish(2);
    t.is(fixture.directory.candidates(ORDERS).length, 1);
});

test("servers of different identifiers or starts are told apart", t => {
    const entry = serverEntry("a", ORDERS, { bornMs: 5 });
    const keys = [entry, { ...entry, bornMs: 6 }, { ...entry, bornMs: undefined }, {
        ...entry,
        id: branded<BackendServerId>("b"),
    }].map(processKey);
    t.is(new Set(keys).size, keys.length);
});

test("the servers that leave are handed over with the published state", t => {
    const giver = new DirectFixture();
    const taker = new DirectFixture();
    const key = processKey(serverEntry("a", ORDERS));
    giver.store.leaving.add(key);
    taker.store.replace(giver.store.export(), "peer");
    t.true(taker.store.leaving.has(key));
    const heir = new DirectFixture();
    heir.store.inherit(giver.store.export());
    t.true(heir.store.leaving.has(key));
});
