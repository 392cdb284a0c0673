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
        test.serial.failing(`a request that crashes servers is sent on and on: ${name}, seed ${seed}`, async t => {
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
