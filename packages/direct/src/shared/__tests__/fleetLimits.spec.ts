import type { BackendServerId } from "@magnolialock/kernel";
import test from "ava";
import { FleetAllotment, type FleetView } from "../fleetAllotment.ts";
import type { TrackedServer } from "../trackedServer.ts";
import { configuration, DirectFixture, fleetOf, ORDERS, serviceSpec } from "./directFixture.ts";

/** Starts per second that a cold server must not exceed, and the published figure that gives it. */
const COLD_REQUESTS_PER_S = 15;
const COLD_BOUND_PER_S = COLD_REQUESTS_PER_S * 1.5 + 5;

const namesOf = (size: number): string[] => Array.from({ length: size }, (_, index) => `entry-${index + 1}`);

/** One entry of a fleet whose service has servers that may turn cold. */
const entryOf = (name: string, fleet: FleetView, servers: number): DirectFixture => {
    const cold = serviceSpec(ORDERS, { coldRequestsPerS: COLD_REQUESTS_PER_S, connectionLimit: 100 });
    const fixture = new DirectFixture(configuration({ services: [cold] }), name);
    fixture.fleet = fleet;
    fixture.addServers(ORDERS, ...Array.from({ length: servers }, (_, index) => `server-${index}`));
    return fixture;
};

const serversOf = (fixture: DirectFixture): TrackedServer[] => [...fixture.directory.all()];

/** Sums what all entries may do at each server. */
const sumByServer = (
    fixtures: readonly DirectFixture[],
    valueOf: (fixture: DirectFixture, server: TrackedServer) => number,
): ReadonlyMap<BackendServerId, number> => {
    const sums = new Map<BackendServerId, number>();
    for (const fixture of fixtures) {
        for (const server of serversOf(fixture)) {
            const { id } = server.entry;
            sums.set(id, (sums.get(id) ?? 0) + valueOf(fixture, server));
        }
    }
    return sums;
};

for (const size of [1, 7, 8, 20, 35, 46, 400]) {
    test.serial(`${size} instances do not flood a server that has just turned cold`, async t => {
        const fixtures = namesOf(size).map(name => entryOf(name, fleetOf(size, name), 1));
        for (const fixture of fixtures) {
            for (let request = 0; request < 30; request++) {
                fixture.send("status");
            }
            await fixture.latestAttempt();
        }
        const starts = fixtures.reduce((sum, { attempts }) => sum + attempts.length, 0);
        t.true(starts <= COLD_BOUND_PER_S, `${starts} starts within one second`);
        t.true(starts >= Math.min(size, COLD_REQUESTS_PER_S) / 2, `only ${starts} starts`);
    });
}

test("an instance that knows a part of the fleet only, or counts the dead, keeps a cold server's bound", t => {
    const size = 46;
    const names = namesOf(size);
    // A third sees itself and a few others, as after a restart; a third does not know the ten newest yet.
    const fixtures = names.map((name, index) => {
        const all = names.filter(other => other !== name);
        const others = index % 3 === 0
            ? all.slice(0, 6)
            : index % 3 === 1
            ? all.slice(0, size - 10)
            : [...all, "entry-gone-1", "entry-gone-2"];
        const known = others.length + 1;
        const view = { others, size: Math.max(size - 10, known), isSettled: known >= size * 0.85 };
        return entryOf(name, view, 72);
    });
    const starts = sumByServer(fixtures, (fixture, server) => fixture.context.maxStartsPerS(server));
    for (const [server, sum] of starts) {
        t.true(sum <= COLD_BOUND_PER_S, `${server}: ${sum}`);
        t.true(sum > 0, `${server}: nobody may start`);
    }
});

for (const size of [7, 35, 400]) {
    test(`limits of connections and retries hold for ${size} instances together`, t => {
        const fixtures = namesOf(size).map(name => entryOf(name, fleetOf(size, name), 72));
        const idle = sumByServer(fixtures, (fixture, server) => fixture.context.maxIdleConnections(server));
        for (const [server, sum] of idle) {
            t.true(sum <= 100, `${server}: ${sum} idle connections`);
        }
        const retries = fixtures.reduce((sum, { context }) => {
            const { retryBudget } = context.service(ORDERS);
            let taken = 0;
            while (retryBudget.tryAcquire()) {
                taken++;
            }
            return sum + taken;
        }, 0);
        t.true(retries <= 100, `${retries} retries at once`);
        t.true(retries > 0);
    });
}

test("every instance of a large fleet may start requests at several servers", t => {
    const fixtures = namesOf(400).slice(0, 40).map(name => entryOf(name, fleetOf(400, name), 600));
    for (const fixture of fixtures) {
        const usable = serversOf(fixture).filter(server => fixture.context.maxStartsPerS(server) > 0).length;
        t.true(usable >= 8, `${usable} servers`);
    }
});

test("an instance that knows few of its fleet gets no part of a limit that it must not exceed", t => {
    for (const size of [7, 46, 400]) {
        const names = namesOf(size);
        const unitsOf = (name: string, isSettled: boolean): number => {
            const view = { ...fleetOf(size, name), isSettled };
            return new FleetAllotment(name, () => view).settledUnitsOf("server", 4);
        };
        t.is(names.reduce((sum, name) => sum + unitsOf(name, true), 0), 4);
        t.is(names.reduce((sum, name) => sum + unitsOf(name, false), 0), 0);
    }
});

test("the parts of a limit add up to the limit", t => {
    for (const [size, total] of [[1, 5], [3, 10], [8, 37], [35, 16], [400, 16]] as const) {
        const names = namesOf(size);
        for (const key of ["a", "b", "c"]) {
            const sum = names.reduce((units, name) => {
                const view = fleetOf(size, name);
                return units + new FleetAllotment(name, () => view).unitsOf(key, total);
            }, 0);
            t.is(sum, total);
        }
    }
});
