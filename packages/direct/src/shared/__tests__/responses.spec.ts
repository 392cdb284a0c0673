import { seedFaults } from "@magnolialock/kernel";
import test from "ava";
import { DirectFixture, DRAFTS, NAMES, ORDERS } from "./directFixture.ts";

const withOrders = (): DirectFixture => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a", "b");
    return fixture;
};

test.serial("a complete response is forwarded with status, body and signature", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("status");
    (await fixture.latestAttempt()).respond(201, "stock: 4", { "x-other": "kept", connection: "close" });
    await fixture.runUntilSettled(done);
    t.is(reply.status, 201);
    t.is(reply.text, "stock: 4");
    t.is(reply.header(NAMES.signature), "signed");
    t.is(reply.header("x-other"), "kept");
    t.is(reply.header("connection"), undefined);
});

test.serial("a response to another request never reaches the caller", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("status");
    const first = await fixture.latestAttempt();
    first.sendHead(200, { [NAMES.requestId]: "request-of-another" }).sendData("theirs");
    t.not(first.abortReason, undefined);
    (await fixture.latestAttempt()).respond(200, "own");
    await fixture.runUntilSettled(done);
    t.is(reply.text, "own");
});

test.serial("without the check, a response to another request reaches the caller", async t => {
    using _fault = seedFaults(["direct.skip-answer-id"]);
    const fixture = withOrders();
    const { done, reply } = fixture.send("status");
    (await fixture.latestAttempt()).respond(200, "theirs", { [NAMES.requestId]: "request-of-another" });
    await fixture.runUntilSettled(done);
    t.is(reply.text, "theirs");
});

for (
    const [name, headers] of [
        ["without a signature", { [NAMES.signature]: undefined }],
        ["with an encoded body", { "content-encoding": "gzip" }],
        ["with a transfer coding that was cut", { "transfer-encoding": "chunk" }],
    ] as const
) {
    test.serial(`a successful response ${name} is retried at another server`, async t => {
        const fixture = withOrders();
        const { done, reply } = fixture.send("status");
        (await fixture.latestAttempt()).respond(200, "bad", headers);
        (await fixture.latestAttempt()).respond(200, "good");
        await fixture.runUntilSettled(done);
        t.is(reply.text, "good");
    });
}

test.serial("a truncated response never looks complete", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("booking");
    (await fixture.latestAttempt()).sendHead(200).sendData("half").breakConnection();
    await fixture.runUntilSettled(done);
    t.is(reply.status, 502);
    t.false(reply.text.includes("half"));
});

test.serial("a refusal that names another request does not show that the request was not run", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("booking");
    (await fixture.latestAttempt()).refuse({ [NAMES.requestId]: "request-of-another" });
    await fixture.runUntilSettled(done);
    t.is(reply.status, 502);
});

test.serial("a status read that fails at two servers returns the last server's error", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("status");
    (await fixture.latestAttempt()).respond(500, "first");
    (await fixture.latestAttempt()).respond(500, "second");
    await fixture.runUntilSettled(done);
    t.is(fixture.attempts.length, 2);
    t.is(reply.status, 500);
    t.is(reply.header(NAMES.signature), "signed");
});

test.serial("a status read whose server is silent is retried at another server in time", async t => {
    const fixture = withOrders();
    const { done, reply } = fixture.send("status");
    await fixture.clock.advance(400);
    t.is(fixture.attempts.length, 2);
    (await fixture.latestAttempt()).respond(200, "late but whole");
    await fixture.runUntilSettled(done);
    t.is(reply.text, "late but whole");
});

test.serial("a caller that disconnects ends the attempt at once", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a");
    const { done, reply } = fixture.send("draft");
    const call = await fixture.latestAttempt();
    reply.disconnect();
    await fixture.runUntilSettled(done);
    t.not(call.abortReason, undefined);
    t.is(fixture.clock.nowMs(), 0);
});

test.serial("a request is sent to no more servers than its route allows", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a", "bb", "ccc", "dddd");
    const { done, reply } = fixture.send("status");
    for (let attempt = 0; attempt < 4 && reply.state === "open"; attempt++) {
        (await fixture.latestAttempt()).respond(500, "failed");
    }
    await fixture.runUntilSettled(done);
    t.is(reply.status, 500);
    t.is(fixture.attempts.length, 2);
});
