import {
    branded,
    type ClientAccountId,
    createRandomSource,
    type Revision,
    seedFaults,
    type StoreEra,
} from "@magnolialock/kernel";
import test from "ava";
import { drawService, RouteTable } from "../routeTable.ts";
import {
    configuration,
    DirectFixture,
    DRAFTS,
    fleetOf,
    NAMES,
    ORDERS,
    route,
    serverEntry,
    serviceSpec,
    THERE,
} from "./directFixture.ts";

const statusOf = async (fixture: DirectFixture, name: string, headers: Record<string, string> = {}) => {
    const { done, reply } = fixture.send(name, headers);
    await fixture.runUntilSettled(done);
    return reply.status;
};

test("the longest matching prefix of the host is used", t => {
    const table = new RouteTable([
        route("all", { prefix: "/" }),
        route("a"),
        route("ab", { prefix: "/a/b/" }),
        route("elsewhere", { host: "other.example", prefix: "/a/b/c/" }),
    ]);
    t.is(table.find("shop.example", "/a/b/c")?.name, "ab");
    t.is(table.find("SHOP.example:8080", "/a/b/")?.name, "ab");
    t.is(table.find("shop.example", "/a/b")?.name, "a");
    t.is(table.find("shop.example", "/a/x?y=/a/b/")?.name, "a");
    t.is(table.find("shop.example", "/x")?.name, "all");
    t.is(table.find("unknown.example", "/a/b"), undefined);
});

test("a traffic split sends each service its share", t => {
    const split = route("split", {
        targets: [{ service: ORDERS, weight: 90 }, { service: DRAFTS, weight: 10 }],
    });
    const random = createRandomSource(3);
    let drafts = 0;
    for (let draw = 0; draw < 2_000; draw++) {
        drafts += drawService(split, random) === DRAFTS ? 1 : 0;
    }
    t.true(drafts > 140 && drafts < 260);
});

test.serial("unknown routes and API keys are refused", async t => {
    const fixture = new DirectFixture();
    t.is(await statusOf(fixture, "nowhere"), 404);
    t.is(await statusOf(fixture, "status", { [NAMES.apiKey]: "wrong" }), 401);
});

test.serial("headers beyond the operator's limit are refused", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    t.is(await statusOf(fixture, "status", { "x-long": "x".repeat(20_000) }), 431);
});

test("idle connections of all instances to a server stay within its limit", t => {
    const limited = configuration({ services: [serviceSpec(ORDERS, { connectionLimit: 49 })] });
    const fixture = new DirectFixture(limited);
    fixture.addServers(ORDERS, "a");
    const [server] = fixture.directory.candidates(ORDERS);
    t.true(server !== undefined && fixture.context.maxIdleConnections(server) * 8 <= 49);
    t.true(server !== undefined && fixture.context.maxIdleConnections(server) >= 1);
});

test.serial("the server gets the configured account, never the API key or the caller's header", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    fixture.send("status", {
        [NAMES.account]: "somebody-else",
        connection: "x-hop",
        "x-hop": "1",
        "x-kept": "2",
    });
    const call = await fixture.latestAttempt();
    t.is(call.header(NAMES.account), "shop");
    t.is(call.header(NAMES.apiKey), undefined);
    t.is(call.header("x-hop"), undefined);
    t.is(call.header("x-kept"), "2");
    t.is(call.header(NAMES.targetServer), "a");
    t.is(call.request.path, "/status/1?x=2");
});

test.serial("a public route needs no API key, and an unknown key yields no account", async t => {
    const fixture = new DirectFixture(configuration({ routes: [route("open", { isPublic: true })] }));
    fixture.addServers(ORDERS, "a");
    fixture.send("open", { [NAMES.apiKey]: "wrong" });
    t.is((await fixture.latestAttempt()).header(NAMES.account), undefined);
});

test.serial("a newer configuration revokes a key, an older one never restores it", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    const otherAccounts = new Map([["key-2", {
        account: branded<ClientAccountId>("shop"),
        priority: undefined,
    }]]);
    fixture.publish("config", {
        kind: "configuration",
        configuration: configuration({ version: 5, accountsByKey: otherAccounts }),
    });
    t.is(await statusOf(fixture, "status"), 401);
    fixture.publish("config", { kind: "configuration", configuration: configuration({ version: 4 }) });
    t.is(await statusOf(fixture, "status"), 401);
});

test.serial("the remaining time is sent to the server", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a", "b");
    fixture.send("status", { [NAMES.remainingMs]: "1500" });
    const first = await fixture.latestAttempt();
    t.is(first.header(NAMES.remainingMs), "1500");
    await fixture.clock.advance(100);
    first.breakConnection();
    t.is((await fixture.latestAttempt()).header(NAMES.remainingMs), "1400");
});

test.serial("draining servers and data centres out of service get no requests", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a", "b");
    fixture.publish("a", { kind: "server", server: serverEntry("a", ORDERS, { state: "draining" }) });
    fixture.publish("c", { kind: "server", server: serverEntry("c", ORDERS, { dataCentre: THERE }) });
    fixture.publish("out", { kind: "outDataCentre", dataCentre: THERE });
    for (let request = 0; request < 10; request++) {
        fixture.send("status");
        t.is((await fixture.latestAttempt()).server, "b");
    }
    fixture.remove("out");
    fixture.send("status");
    t.is((await fixture.latestAttempt()).server, "c");
});

test.serial("a server whose entry is removed gets no more requests at once", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    fixture.remove("a");
    t.is(await statusOf(fixture, "status"), 503);
});

test.serial("entries that expired in an outage are used for two seconds after its end", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    fixture.sinceOutageMs = 500;
    fixture.remove("a");
    fixture.send("status");
    t.is((await fixture.latestAttempt()).server, "a");
    await fixture.clock.advance(1_600);
    t.is(await statusOf(fixture, "status"), 503);
});

test.serial("an entry that is published again in time stays in use", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a");
    fixture.sinceOutageMs = 500;
    fixture.remove("a");
    fixture.addServers(ORDERS, "a");
    await fixture.clock.advance(5_000);
    fixture.send("status");
    t.is((await fixture.latestAttempt()).server, "a");
});

test.serial("an instance stays within its share of a cold server's rate limit", async t => {
    const fixture = new DirectFixture(
        configuration({ services: [serviceSpec(ORDERS, { coldRequestsPerS: 38 })] }),
    );
    fixture.fleet = fleetOf(7);
    fixture.addServers(ORDERS, "a");
    for (let request = 0; request < 30; request++) {
        fixture.send("status");
    }
    await fixture.latestAttempt();
    // Seven instances with this many starts each stay within 38 × 1.5 + 5 per second.
    t.true(fixture.attempts.length * 7 <= 62);
    t.true(fixture.attempts.length >= 5);
    await fixture.clock.advance(1_001);
    fixture.send("status");
    t.true((await fixture.latestAttempt()).server === "a");
});

test.serial("retries stay within this instance's share, whatever fails", async t => {
    const countRetries = async (): Promise<number> => {
        const fixture = new DirectFixture();
        fixture.addServers(ORDERS, "a", "b", "c");
        for (let request = 0; request < 100; request++) {
            const { done } = fixture.send("status");
            for (let last: unknown; last !== fixture.attempts.at(-1);) {
                last = fixture.attempts.at(-1);
                fixture.attempts.at(-1)?.breakConnection();
                await fixture.latestAttempt();
            }
            await fixture.runUntilSettled(done);
        }
        return fixture.attempts.length - 100;
    };
    const retries = await countRetries();
    // Eight instances share 100 retries beyond a fifth of the successful requests; none succeeds here.
    t.true(retries * 8 <= 100, `${retries} retries`);
    using _fault = seedFaults(["direct.skip-retry-budget"]);
    t.true(await countRetries() * 8 > 100);
});

test.serial("an instance without a configuration answers 503 with a retry delay", async t => {
    const fixture = new DirectFixture("none");
    const withoutKey = fixture.send("nowhere", { [NAMES.apiKey]: "" });
    await fixture.runUntilSettled(withoutKey.done);
    t.is(withoutKey.reply.status, 503);
    t.true(Number(withoutKey.reply.header("retry-after")) > 0);
});

test.serial("an older state or change never replaces a newer one", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a", "bb");
    const { store } = fixture;
    const { revision } = store;
    const older = branded<Revision>(revision - 1);
    store.replace({ era: branded<StoreEra>(0), revision: older, items: [] }, "peer");
    t.is(store.revision, revision);
    t.is(store.servers().size, 2);
    store.apply(older, [{ key: "a", text: undefined, revision: older }], "peer");
    t.is(store.revision, revision);
    t.is(store.servers().size, 2);
});
