import test from "ava";
import { groupWaitMs } from "../groupWait.ts";
import { NAMES } from "./directFixture.ts";
import { DirectFleet, type DirectFleetOptions, type FleetRequest } from "./directFleet.ts";

const NEVER = Number.POSITIVE_INFINITY;

test("new requests are refused at once unless a rank has come back", t => {
    const fresh = { isReturning: false, patienceMs: 1_600 };
    t.is(groupWaitMs({ ...fresh, downForMs: 100, sinceServerAddedMs: NEVER }), 0);
    t.is(groupWaitMs({ ...fresh, downForMs: 3_000, sinceServerAddedMs: NEVER }), 0);
    t.is(groupWaitMs({ ...fresh, downForMs: 3_000, sinceServerAddedMs: 200 }), 1_000);
    t.is(groupWaitMs({ ...fresh, downForMs: 9_000, sinceServerAddedMs: 200 }), 1_000);
    // A server that was published before the group went down is not the rank that it lacks.
    t.is(groupWaitMs({ ...fresh, downForMs: 100, sinceServerAddedMs: 200 }), 0);
    t.is(groupWaitMs({ ...fresh, downForMs: 3_000, sinceServerAddedMs: 1_300 }), 0);
});

test("callers who have returned wait while the group can be expected, and no longer than they bear", t => {
    const returning = { isReturning: true, sinceServerAddedMs: NEVER };
    t.is(groupWaitMs({ ...returning, downForMs: 2_500, patienceMs: 1_600 }), 1_600);
    t.is(groupWaitMs({ ...returning, downForMs: 5_000, patienceMs: 1_600 }), 500);
    t.is(groupWaitMs({ ...returning, downForMs: 100, patienceMs: 1_600 }), 0, "it cannot be served in time");
    t.is(groupWaitMs({ ...returning, downForMs: 7_000, patienceMs: 1_600 }), 0);
    t.is(groupWaitMs({ ...returning, downForMs: 2_500, patienceMs: -1 }), 0);
});

/** Time for which callers wait for an answer, in milliseconds. */
const REMAINING_MS = 8_000;
/** Requests a second over the fleet. */
const PER_S = 50;

interface Caller {
    readonly first: FleetRequest;
    second: FleetRequest | undefined;
}

/** Plays callers who return once after a refusal, as long as `Retry-After` says. */
const playCallers = async (fleet: DirectFleet, durationMs: number): Promise<Caller[]> => {
    const callers: Caller[] = [];
    const returns = async (caller: Caller): Promise<void> => {
        const { reply, sentMs } = caller.first;
        while (reply.state === "open" && fleet.clock.nowMs() < sentMs + REMAINING_MS) {
            await fleet.pause(10);
        }
        if (reply.status !== 503) {
            return;
        }
        const leftMs = REMAINING_MS - (fleet.clock.nowMs() - sentMs);
        await fleet.pause(Math.min(Number(reply.header("retry-after")) * 1_000, leftMs / 3));
        const remainingMs = Math.round(sentMs + REMAINING_MS - fleet.clock.nowMs());
        caller.second = fleet.sendWith({ [NAMES.remainingMs]: String(remainingMs) }, "c0");
    };
    const endMs = fleet.clock.nowMs() + durationMs;
    while (fleet.clock.nowMs() < endMs) {
        const caller: Caller = { first: fleet.sendWith({}, "c0"), second: undefined };
        callers.push(caller);
        void returns(caller);
        await fleet.clock.advance(1_000 / PER_S);
    }
    await fleet.clock.advance(REMAINING_MS);
    return callers;
};

const isServed = ({ reply }: FleetRequest): boolean => reply.status === 200 && reply.state === "ended";

const FLEETS: Readonly<Record<string, DirectFleetOptions>> = {
    "7 instances": { instances: 7, servers: 12, groups: 1, dataCentres: 3 },
    "9 instances, two groups": { instances: 9, servers: 16, groups: 2, dataCentres: 3 },
    "46 instances": { instances: 46, servers: 24, groups: 1, dataCentres: 4 },
};

for (const [name, options] of Object.entries(FLEETS)) {
    test.serial(`callers of a group that lacks a rank for some seconds are served when they return: ${name}`, async t => {
        using fleet = new DirectFleet(options);
        await fleet.clock.advance(3_000);
        await playCallers(fleet, 2_000);
        const crashMs = fleet.clock.nowMs();
        const playing = playCallers(fleet, 4_500);
        for (let group = 0; group < (options.groups ?? 1); group++) {
            fleet.servers[group]?.crash();
        }
        const callers = await playing;
        const outage = callers.filter(({ first }) => first.sentMs < crashMs + 3_600);
        const served = outage.filter(({ first, second }) => isServed(first) || second && isServed(second));
        const refusedAgain = outage.filter(({ second }) => second?.reply.status === 503);
        t.log(`${served.length} of ${outage.length} served, ${refusedAgain.length} refused again`);
        t.true(served.length >= 0.9 * outage.length);
        t.true(refusedAgain.length <= 0.05 * outage.length);
    });
}
