import test from "ava";
import { readRest } from "../serverNotices.ts";
import { DirectFixture, DRAFTS, NAMES, ORDERS } from "./directFixture.ts";
import { DirectFleet, type DirectFleetOptions } from "./directFleet.ts";
import type { FleetServer } from "./fleetServer.ts";

const REST_MS = 2_000;
/** Time after its answer from which requests to a server that has asked for a pause count, in milliseconds. */
const GRACE_MS = 500;
/** Requests that an instance may send within the pause after that. */
const MAX_REQUESTS = 2;

const PLAIN: DirectFleetOptions = { instances: 7, servers: 4, dataCentres: 3, isPlain: true };
const FLEETS: Readonly<Record<string, DirectFleetOptions>> = {
    "7 instances": PLAIN,
    "46 instances": { ...PLAIN, instances: 46, servers: 5, dataCentres: 4 },
    "99 instances": { ...PLAIN, instances: 99, servers: 5, dataCentres: 5 },
    "7 instances, model servers": { instances: 7, servers: 12, groups: 1, dataCentres: 3 },
    "99 instances, model servers": { instances: 99, servers: 48, groups: 3, dataCentres: 5 },
};

const sendFor = (fleet: DirectFleet, durationMs: number, perS: number): Promise<void> =>
    fleet.options.isPlain
        ? fleet.sendPlainFor(durationMs, perS, () => `status/${fleet.random.nextInt(0, 1_000)}`)
        : fleet.sendFor(durationMs, perS, () => ["c0", `50${fleet.random.nextInt(0, 40)}`]);

/** Lets servers turn every request away. */
const letShed = (servers: readonly FleetServer[], retryAfter: string): void =>
    servers.forEach(server => server.shedding = { capacity: 0, retryAfter });

/** Most requests that one instance sent to one server in a pause that the server had asked it for. */
const mostInPause = ({ arrivals, sheds }: DirectFleet, restMs: number): number =>
    Math.max(
        0,
        ...sheds.map(({ atMs: toldMs, entry, serverId }) =>
            arrivals.filter(({ atMs, ...arrival }) =>
                arrival.entry === entry && arrival.serverId === serverId
                && atMs > toldMs + GRACE_MS && atMs < toldMs + restMs
            ).length
        ),
    );

for (const [name, options] of Object.entries(FLEETS)) {
    test.serial(`a server that has asked for a pause gets more requests: ${name}`, async t => {
        const perS = Math.max(60, options.servers * 6);
        using fleet = new DirectFleet(options);
        await fleet.clock.advance(3_000);
        await sendFor(fleet, 500, perS);
        const shedding = fleet.servers.slice(0, Math.ceil(options.servers / 4));
        letShed(shedding, String(REST_MS / 1_000));
        await sendFor(fleet, 6_000, perS);
        t.true(fleet.sheds.length > shedding.length);
        t.true(mostInPause(fleet, REST_MS) <= MAX_REQUESTS);
        // The servers are asked again after the pause, and serve once they can.
        shedding.forEach(server => server.shedding = undefined);
        const soundMs = fleet.clock.nowMs() + REST_MS;
        await sendFor(fleet, 4_000, perS);
        for (const { name: server } of shedding) {
            t.true(
                fleet.arrivals.some(({ atMs, ...arrival }) => atMs > soundMs && arrival.server === server),
            );
        }
        t.false(fleet.requests.some(({ reply, sentMs }) => sentMs > soundMs && reply.status === 503));
    });
}

test.serial("a server in need that tells each of 99 instances apart costs the others no request", async t => {
    const perS = 250;
    using fleet = new DirectFleet(FLEETS["99 instances"] ?? PLAIN);
    await fleet.clock.advance(5_000);
    fleet.servers.forEach((server, index) =>
        server.shedding = { capacity: index === 0 ? 0 : 6, retryAfter: "2" }
    );
    const startMs = fleet.clock.nowMs();
    await sendFor(fleet, 8_000, perS);
    await fleet.clock.advance(500);
    const sent = fleet.requests.filter(({ sentMs }) => sentMs >= startMs);
    const served = sent.filter(({ reply }) => reply.status === 200).length;
    t.log(`${served} of ${sent.length} served, ${fleet.sheds.length} turned away by servers`);
    t.true(mostInPause(fleet, REST_MS) <= MAX_REQUESTS);
    t.true(served >= 0.7 * sent.length);
});

test.serial("what no server takes because of pauses is refused at once, until the first pause ends", async t => {
    using fleet = new DirectFleet(PLAIN);
    await fleet.clock.advance(3_000);
    letShed(fleet.servers, "2");
    await sendFor(fleet, 1_000, 60);
    const restMs = fleet.clock.nowMs();
    const before = fleet.arrivals.length;
    await sendFor(fleet, 500, 60);
    t.is(fleet.arrivals.length, before);
    const refused = fleet.requests.filter(({ sentMs }) => sentMs >= restMs);
    t.true(refused.length > 20);
    for (const { reply, sentMs } of refused) {
        t.is(reply.status, 503);
        const told = Number(reply.header("retry-after"));
        const earliestMs = Math.min(...fleet.sheds.map(({ atMs }) => atMs)) + REST_MS;
        t.true(told * 1_000 >= Math.min(earliestMs - sentMs, 8_000 / 3 - 1));
    }
});

const restAfter = async (
    headers: Record<string, string | readonly string[]>,
    status = 503,
): Promise<number> => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    const { done } = fixture.send("booking");
    const attempt = await fixture.latestAttempt();
    attempt.respond(status, "", { ...status === 503 ? { [NAMES.notRun]: "1" } : {}, ...headers });
    await fixture.runUntilSettled(done);
    return fixture.context.limits.pauseMs([...fixture.directory.all()]);
};

test.serial("an answer of another request asks for no pause", async t => {
    t.is(await restAfter({ "retry-after": "2" }), 2_000);
    t.is(await restAfter({ "retry-after": "2", [NAMES.requestId]: "earlier" }), 0);
    t.is(await restAfter({ "retry-after": "2", [NAMES.requestId]: "earlier" }, 421), 0);
    t.is(await restAfter({ "retry-after": "2" }, 200), 0);
});

test.serial("a shorter pause that is named later does not end a longer one", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    const calls = ["5", "1", "0"].map(() => fixture.send("booking"));
    await fixture.clock.advance(0);
    for (const [index, text] of ["5", "1", "0"].entries()) {
        fixture.attempts[index]?.refuse({ "retry-after": text });
        await fixture.clock.advance(10);
    }
    await Promise.all(calls.map(({ done }) => done));
    t.is(fixture.context.limits.pauseMs([...fixture.directory.all()]), 4_970);
});

test.serial("a stream waits for a pause to end, and goes on at another server", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a");
    const { done, reply } = fixture.send("draft");
    const attempt = await fixture.latestAttempt();
    attempt.startStream().sendEvents(1, 2);
    const refused = fixture.send("draft");
    (await fixture.latestAttempt()).refuse({ "retry-after": "60" });
    await fixture.runUntilSettled(refused.done);
    t.is(refused.reply.status, 503);
    attempt.breakConnection();
    await fixture.clock.advance(100);
    fixture.addServers(DRAFTS, "bb");
    await fixture.clock.advance(100);
    const resumed = await fixture.latestAttempt();
    t.is(resumed.server, "bb");
    resumed.startStream().sendEvents(3, 4).complete();
    await done;
    t.is(reply.state, "ended");
});

test.serial("requests that wait for a slot are refused once all servers have asked for a pause", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a");
    const running = Array.from({ length: 20 }, () => fixture.send("draft"));
    await fixture.clock.advance(0);
    const { length } = fixture.attempts;
    t.true(length < running.length);
    await fixture.clock.advance(390);
    const waiting = Array.from({ length: 10 }, () => fixture.send("draft"));
    // The limit of the queue is read again then, and none is left.
    await fixture.clock.advance(20);
    fixture.attempts[0]?.refuse({ "retry-after": "2" });
    await fixture.clock.advance(1);
    t.is(fixture.attempts.length, length);
    for (const { reply } of waiting) {
        t.is(reply.status, 503);
        t.true(Number(reply.header("retry-after")) >= 1.999);
    }
});

test.serial("slots of a server that has asked for a pause do not count as free", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a", "bb");
    fixture.send("draft");
    const first = await fixture.latestAttempt();
    first.refuse({ "retry-after": "5" });
    await fixture.clock.advance(500);
    const before = fixture.attempts.length;
    Array.from({ length: 40 }, () => fixture.send("draft"));
    await fixture.clock.advance(0);
    const sent = fixture.attempts.slice(before);
    t.false(sent.some(({ server }) => server === first.server));
    // One server has eight slots.
    t.true(sent.length <= 10, `${sent.length} requests were sent to one server`);
});

test("pauses are read as seconds or as a date, and bounded", t => {
    const read = (value: string | readonly string[], date?: string): string => {
        const notice = readRest({ status: 503, headers: { "retry-after": value, date } });
        return notice.kind === "rest" ? String(notice.forMs) : notice.kind;
    };
    t.is(read("2"), "2000");
    t.is(read(" 0.25 "), "250");
    t.is(read("0"), "0");
    t.is(read(["1", "3"]), "3000");
    t.is(read("3600"), "3600000");
    t.is(read("9".repeat(300)), "3600000");
    t.is(read("Sat, 05 Dec 2026 04:00:30 GMT", "Sat, 05 Dec 2026 04:00:00 GMT"), "30000");
    for (
        const value of [
            "",
            "-1",
            "soon",
            "NaN",
            "Infinity",
            "1e3",
            "0x10",
            "1.2.3",
            "1;2",
            "Sat, 05 Dec 2026 04:00:30 GMT",
            "Sat, nonsense",
            ["1", "x"],
        ]
    ) {
        t.is(read(value), "unreadable", String(value));
    }
    t.is(read("Sat, 05 Dec 2026 04:00:00 GMT", "Sat, 05 Dec 2026 04:00:30 GMT"), "unreadable");
    t.is(readRest({ status: 200, headers: { "retry-after": "2" } }).kind, "none");
    t.is(readRest({ status: 429, headers: { "retry-after": "2" } }).kind, "none");
});
