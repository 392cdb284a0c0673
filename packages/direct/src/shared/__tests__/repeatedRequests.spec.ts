import test from "ava";
import { DirectFleet, type DirectFleetOptions } from "./directFleet.ts";

const BAD = "status/bad";
/** Time within which all instances must know that a request crashes servers, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;
/** Crashes after which that time begins. */
const FREE_CRASHES = 3;
/** Times that such a request may still reach servers after it. */
const MAX_LATE_ARRIVALS = 3;
const SMALL: DirectFleetOptions = { instances: 7, servers: 3, dataCentres: 3, isPlain: true };
const FLEETS: Readonly<Record<string, DirectFleetOptions>> = {
    "7 instances, 3 servers": SMALL,
    "46 instances, 5 servers": { ...SMALL, instances: 46, servers: 5, dataCentres: 4 },
    "7 instances, 12 servers": { ...SMALL, servers: 12 },
    "400 instances, 12 servers": { ...SMALL, instances: 400, servers: 12, dataCentres: 11 },
};

let nextSubject = 1;

/** Draws a request of its own; a quarter of them are bookings. */
const drawSound = ({ random }: DirectFleet): string =>
    `${random.nextFloat() < 0.25 ? "booking" : "status"}/${nextSubject++}`;

const drawMixed = (fleet: DirectFleet, badShare: number, bad = BAD) => (): string =>
    fleet.random.nextFloat() < badShare ? bad : drawSound(fleet);

const lateArrivals = (fleet: DirectFleet, bad = BAD): number => {
    const third = fleet.crashes[FREE_CRASHES - 1];
    return third ? fleet.arrivalsAfter(bad, third.atMs + STABLE_WINDOW_MS) : 0;
};

for (const [name, options] of Object.entries(FLEETS)) {
    for (const seed of options.instances > 100 ? [1] : [1, 2, 3]) {
        test.serial(`a request that crashes servers is sent on and on: ${name}, seed ${seed}`, async t => {
            using fleet = new DirectFleet({ ...options, seed });
            fleet.badParts.add(BAD);
            await fleet.clock.advance(options.instances > 100 ? 30_000 : 2_000);
            await fleet.sendPlainFor(60_000, 5, drawMixed(fleet, 0.15));
            t.log(`${fleet.crashes.length} crashes, ${fleet.arrivalsAfter(BAD, 0)} arrivals`);
            t.true(lateArrivals(fleet) <= MAX_LATE_ARRIVALS, `${lateArrivals(fleet)} late arrivals`);
            const nowMs = fleet.clock.nowMs();
            const begun = fleet.begunShare(nowMs - 30_000, nowMs - 1_000);
            t.true(begun > 0.95, `${begun} of the sound requests are answered`);
        });
    }
}

const quarantinedRequests = ({ entries }: DirectFleet): number =>
    new Set(entries.flatMap(({ context }) => context.quarantine.requests)).size;

const answeredShare = (fleet: DirectFleet, spanMs: number): number =>
    fleet.begunShare(fleet.clock.nowMs() - spanMs, fleet.clock.nowMs() - 1_000);

for (const seed of [1, 2, 3]) {
    test.serial(`two requests that crash servers are both found, seed ${seed}`, async t => {
        using fleet = new DirectFleet({ ...SMALL, servers: 5, seed });
        fleet.badParts.add(BAD).add("booking/bad");
        await fleet.clock.advance(2_000);
        await fleet.sendPlainFor(
            60_000,
            5,
            () => drawMixed(fleet, 0.2, fleet.random.nextFloat() < 0.5 ? BAD : "booking/bad")(),
        );
        t.log(`${fleet.crashes.length} crashes`);
        t.is(quarantinedRequests(fleet), 2);
        t.true(lateArrivals(fleet) <= MAX_LATE_ARRIVALS);
        t.true(answeredShare(fleet, 20_000) > 0.95);
    });
}

test.serial("a request that crashes servers and comes seldom is found", async t => {
    using fleet = new DirectFleet(SMALL);
    fleet.badParts.add(BAD);
    await fleet.clock.advance(2_000);
    await fleet.sendPlainFor(300_000, 5, drawMixed(fleet, 0.01));
    t.log(`${fleet.crashes.length} crashes, ${fleet.arrivalsAfter(BAD, 0)} arrivals`);
    t.is(quarantinedRequests(fleet), 1);
    t.true(fleet.crashes.length <= FREE_CRASHES);
});

test.serial("a request that crashes servers is the only one that is refused", async t => {
    using fleet = new DirectFleet(SMALL);
    fleet.badParts.add(BAD);
    await fleet.clock.advance(2_000);
    await fleet.sendPlainFor(20_000, 5, drawMixed(fleet, 0.15));
    fleet.badParts.clear();
    const fromMs = fleet.clock.nowMs();
    const refused = fleet.sendPlain(1, BAD);
    // Another client account asks for the same, and the same account for something else.
    const others = [
        fleet.sendPlain(1, BAD, "key-2"),
        fleet.sendPlain(2, "status/bad2"),
        fleet.sendPlain(3, "booking/bad"),
    ];
    await fleet.clock.advance(1_000);
    t.is(refused.reply.status, 503);
    t.true(Number(refused.reply.header("retry-after")) > 60);
    t.deepEqual(others.map(({ reply }) => reply.status), [200, 200, 200]);
    t.is(fleet.arrivalsAfter(BAD, fromMs - 1), 1);
});

test.serial("instances that start, or were cut off, send a request that the others refuse", async t => {
    using fleet = new DirectFleet(SMALL);
    fleet.isLost = (from, to) => from === 6 || to === 6;
    fleet.badParts.add(BAD);
    await fleet.clock.advance(2_000);
    const drawHere = drawMixed(fleet, 0.15);
    for (let round = 0; round < 100; round++) {
        fleet.sendPlain(fleet.random.nextInt(0, 5), drawHere());
        await fleet.clock.advance(200);
    }
    for (let index = 0; index < 3; index++) {
        fleet.startEntry(index);
        await fleet.clock.advance(1_000);
        t.is(fleet.entries[index]?.context.quarantine.requests.length, 1);
    }
    fleet.isLost = () => false;
    await fleet.clock.advance(3_000);
    t.is(fleet.entries[6]?.context.quarantine.requests.length, 1);
    const fromMs = fleet.clock.nowMs();
    await fleet.sendPlainFor(20_000, 5, drawHere);
    t.is(fleet.arrivalsAfter(BAD, fromMs), 0);
});

test.serial("a booking that ended with its server is not said to have not run", async t => {
    using fleet = new DirectFleet(SMALL);
    fleet.badParts.add("booking/bad");
    await fleet.clock.advance(2_000);
    const replies = [];
    for (let round = 0; round < 6; round++) {
        replies.push(fleet.sendPlain(round, "booking/bad"));
        await fleet.clock.advance(4_000);
    }
    t.deepEqual(replies.map(({ reply }) => reply.status), [502, 502, 503, 503, 503, 503]);
    t.is(fleet.arrivalsAfter("booking/bad", 0), 2);
});

for (const seed of [1, 2, 3, 4, 5, 6]) {
    test.serial(`servers that end for other reasons accuse no popular request, seed ${seed}`, async t => {
        using fleet = new DirectFleet({ ...SMALL, seed });
        await fleet.clock.advance(2_000);
        const accused = new Set<string>();
        // A few callers read the same status all the time.
        const draw = (): string => `status/popular${fleet.random.nextInt(0, 3)}`;
        for (let round = 0; round < 40; round++) {
            for (let count = fleet.random.nextInt(1, 3); count > 0; count--) {
                fleet.servers[fleet.random.nextInt(0, 2)]?.crash();
            }
            await fleet.sendPlainFor(fleet.random.nextInt(300, 5_000), 20, draw);
            fleet.entries.forEach(({ context }) =>
                context.quarantine.requests.forEach(id => accused.add(id))
            );
        }
        t.deepEqual([...accused], []);
    });

    test.serial(`servers that flap together accuse no popular request, seed ${seed}`, async t => {
        using fleet = new DirectFleet({ ...SMALL, seed });
        await fleet.clock.advance(2_000);
        const accused = new Set<string>();
        const draw = (): string => `status/popular${fleet.random.nextInt(0, 3)}`;
        for (let round = 0; round < 20; round++) {
            fleet.servers.forEach(server => server.crash());
            await fleet.sendPlainFor(4_000, 20, draw);
            fleet.entries.forEach(({ context }) =>
                context.quarantine.requests.forEach(id => accused.add(id))
            );
        }
        t.deepEqual([...accused], []);
    });
}

test.serial("requests that end together and come again together are told apart", async t => {
    using fleet = new DirectFleet({ ...SMALL, servers: 6 });
    fleet.badParts.add(BAD);
    await fleet.clock.advance(2_000);
    for (let round = 0; round < 8; round++) {
        // The callers of both repeat after each failure.
        for (let index = 0; index < 6; index++) {
            fleet.sendPlain(index, "status/beside");
        }
        fleet.sendPlain(round % 7, BAD);
        await fleet.clock.advance(3_500);
    }
    t.true(fleet.arrivalsAfter(BAD, 0) <= FREE_CRASHES, `${fleet.arrivalsAfter(BAD, 0)} arrivals`);
    t.is(quarantinedRequests(fleet), 1);
    t.is(fleet.requests.at(-2)?.reply.status, 200);
});

test.serial("callers who invent requests push no evidence out", async t => {
    using fleet = new DirectFleet({ ...SMALL, servers: 6 });
    fleet.badParts.add(BAD);
    await fleet.clock.advance(2_000);
    await fleet.sendPlainFor(10_000, 5, drawMixed(fleet, 0.3));
    t.is(quarantinedRequests(fleet), 1);
    for (let round = 0; round < 20; round++) {
        for (let index = 0; index < 50; index++) {
            fleet.sendPlain(index % 7, `status/invented${round}-${index}`);
        }
        await fleet.clock.advance(20);
        fleet.servers.forEach(server => server.crash());
        await fleet.clock.advance(4_000);
    }
    t.true(fleet.entries.every(({ context }) => context.quarantine.reportCount <= 128));
    const fromMs = fleet.clock.nowMs();
    fleet.sendPlain(3, BAD);
    await fleet.clock.advance(500);
    t.is(fleet.arrivalsAfter(BAD, fromMs - 1), 0);
});

test.serial("a status read whose server ended under it is not sent to another server", async t => {
    using fleet = new DirectFleet(SMALL);
    fleet.badParts.add(BAD);
    await fleet.clock.advance(2_000);
    const { reply } = fleet.sendPlain(0, BAD);
    await fleet.clock.advance(1_000);
    t.is(reply.status, 502);
    t.is(fleet.arrivalsAfter(BAD, 0), 1);
});
