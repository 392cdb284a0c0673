import { seedFaults } from "@magnolialock/kernel";
import test from "ava";
import { DirectFixture, NAMES, ORDERS } from "./directFixture.ts";

const withOrders = (): DirectFixture => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a", "b");
    return fixture;
};

test.serial("a booking whose response is lost is not sent again, and is not reported as not run", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("booking");
    (await fixture.latestAttempt()).breakConnection();
    await fixture.runUntilSettled(done);
    t.is(fixture.attempts.length, 1);
    t.is(reply.status, 502);
    t.is(reply.header("retry-after"), undefined);
});

test.serial("without the guard, a booking whose response is lost is sent again", async t => {
    using _fault = seedFaults(["direct.repeat-once"]);
    const fixture = withOrders();
    const { done } = fixture.send("booking");
    (await fixture.latestAttempt()).breakConnection();
    (await fixture.latestAttempt()).respond(200);
    await fixture.runUntilSettled(done);
    t.is(fixture.attempts.length, 2);
});

test.serial("a booking that could not be sent goes to another server", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("booking");
    const first = await fixture.latestAttempt();
    first.failToSend();
    const second = await fixture.latestAttempt();
    t.not(second.server, first.server);
    second.respond(200);
    await fixture.runUntilSettled(done);
    t.is(reply.status, 200);
});

test.serial("a booking that a full server refused is refused as not run, with a retry delay", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("booking", { [NAMES.remainingMs]: "1500" });
    (await fixture.latestAttempt()).refuse();
    await fixture.runUntilSettled(done);
    t.is(reply.status, 503);
    const retryAfterS = Number(reply.header("retry-after"));
    t.true(retryAfterS > 0 && retryAfterS <= 0.5);
});

test.serial("a booking without a response ends at the timeout, and is not reported as not run", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("booking");
    await fixture.clock.advance(799);
    t.is(reply.state, "open");
    await fixture.runUntilSettled(done);
    t.is(fixture.clock.nowMs(), 800);
    t.is(reply.status, 504);
    t.not(fixture.attempts[0]?.abortReason, undefined);
});

test.serial("a booking uses only a recently used connection", async t => {
    const fixture = withOrders();
    fixture.send("booking");
    t.true((await fixture.latestAttempt()).request.maxIdleMs < 1_000);
    fixture.send("status");
    t.true((await fixture.latestAttempt()).request.maxIdleMs >= 1_000);
});

for (const status of [408, 429, 503]) {
    test.serial(`a booking answered ${status} without the word that it was not run is not reported as not run`, async t => {
        const fixture = new DirectFixture();
        fixture.addServers(ORDERS, "a", "bb");
        const { done, reply } = fixture.send("booking");
        (await fixture.latestAttempt()).respond(status);
        await fixture.runUntilSettled(done);
        t.is(reply.status, 502);
        t.is(fixture.attempts.length, 1);
    });
}
