import test from "ava";
import { configuration, DirectFixture, DRAFTS, NAMES, ORDERS, route, serverEntry } from "./directFixture.ts";

/** One model server with one slot, which the first request holds; the second request waits. */
const saturatedFixture = async () => {
    const fixture = new DirectFixture();
    fixture.publish("a", { kind: "server", server: serverEntry("a", DRAFTS, { slots: 1 }) });
    const first = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 1);
    const second = fixture.send("draft");
    await fixture.latestAttempt();
    return { fixture, first, second };
};

test.serial("a request waits for a slot at the model servers and is sent as one becomes free", async t => {
    const { first, fixture, second } = await saturatedFixture();
    t.is(fixture.attempts.length, 1);
    fixture.attempts[0]?.sendEvents(2, 2).complete();
    await fixture.runUntilSettled(first.done);
    t.is(fixture.attempts.length, 2);
    (await fixture.latestAttempt()).startStream().sendEvents(1, 2).complete();
    await fixture.runUntilSettled(second.done);
    t.is(second.reply.state, "ended");
});

test.serial("waiting requests are refused at once when a server reports that its group is down", async t => {
    const { first, fixture, second } = await saturatedFixture();
    const third = fixture.send("draft");
    await fixture.latestAttempt();
    fixture.attempts[0]?.breakConnection();
    // The slot goes to one of the two waiting requests; the server refuses it because the group is down.
    (await fixture.latestAttempt()).refuse({ [NAMES.refusingServer]: "missing" });
    await fixture.runUntilSettled(second.done);
    await fixture.runUntilSettled(third.done);
    t.deepEqual([second.reply.status, third.reply.status], [503, 503]);
    t.true(fixture.clock.nowMs() < 100);
    await fixture.runUntilSettled(first.done);
});

test.serial("a request that gets no slot before its caller gives up is refused, and was not run", async t => {
    const { fixture, second } = await saturatedFixture();
    await fixture.runUntilSettled(second.done);
    t.is(second.reply.status, 503);
    t.true(fixture.clock.nowMs() <= 2_000);
    t.true(Number(second.reply.header("retry-after")) > 0);
    t.is(fixture.attempts.length, 1);
});

test.serial("a caller that disconnects while its request waits ends the wait", async t => {
    const { fixture, second } = await saturatedFixture();
    second.reply.disconnect();
    await fixture.runUntilSettled(second.done);
    t.is(fixture.context.service(DRAFTS).admissionQueue.waiting, 0);
    t.is(fixture.attempts.length, 1);
});

test.serial("a request retried after a refusal waits behind new ones", async t => {
    const { first, fixture, second: waiting } = await saturatedFixture();
    await fixture.clock.advance(10);
    const retry = fixture.send("draft", { [NAMES.remainingMs]: "5300" });
    await fixture.latestAttempt();
    fixture.attempts[0]?.complete();
    await fixture.runUntilSettled(first.done);
    (await fixture.latestAttempt()).startStream().sendEvents(1, 1).complete();
    await fixture.runUntilSettled(waiting.done);
    t.is(waiting.reply.state, "ended");
    t.not(retry.reply.state, "ended");
    await fixture.runUntilSettled(retry.done);
});

test.serial("requests to servers that are not model servers do not wait for slots", async t => {
    const fixture = new DirectFixture(configuration({
        routes: [route("status", { targets: [{ service: ORDERS, weight: 1 }] })],
    }));
    fixture.publish("b", { kind: "server", server: serverEntry("b", ORDERS, { slots: 1 }) });
    fixture.send("status");
    fixture.send("status");
    await fixture.latestAttempt();
    t.is(fixture.attempts.length, 2);
});
