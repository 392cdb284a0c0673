/** Guards against servers that are given up because one caller expects weights that they do not have. */

import test from "ava";
import { DirectFixture, DRAFTS, NAMES, ORDERS } from "../../__tests__/directFixture.ts";

const EXPECTING = { [NAMES.expectedVersion]: "1" };

/** Answers each attempt of a request with a rejection; returns how many servers are still in use. */
const rejectAll = async (
    requestHeaders: Record<string, string>,
    serverId: (target: string) => string | undefined,
) => {
    const fixture = new DirectFixture();
    fixture.addServers(ORDERS, "a", "b");
    const before = fixture.directory.candidates(ORDERS).length;
    const call = fixture.send("status", requestHeaders);
    for (let attempts = 0; attempts < 2; attempts++) {
        const attempt = await fixture.latestAttempt();
        const id = serverId(attempt.server);
        attempt.respond(421, "", {
            ...id !== undefined && { [NAMES.serverId]: id },
            [NAMES.refusingServer]: "10.0.0.1:1",
        });
    }
    await fixture.runUntilSettled(call.done);
    return { before, after: fixture.directory.candidates(ORDERS).length, status: call.reply.status };
};

test("servers with other weights than a caller expects stay in use", async t => {
    const named = await rejectAll(EXPECTING, target => target);
    t.is(named.after, named.before);
    t.is(named.status, 503);
    const unnamed = await rejectAll(EXPECTING, () => undefined);
    t.is(unnamed.after, unnamed.before);
});

test("a server at whose address another one answers is out of use, whatever the caller expects", async t => {
    const other = await rejectAll(EXPECTING, () => "another");
    t.true(other.after < other.before);
    const plain = await rejectAll({}, () => undefined);
    t.true(plain.after < plain.before);
});

test("a group stays in use when its server rejects a request for other weights", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a", "bb", "ccc");
    const rejected = fixture.send("draft", EXPECTING);
    for (let attempts = 0; attempts < 3 && rejected.reply.state === "open"; attempts++) {
        const attempt = await fixture.latestAttempt();
        attempt.respond(421, "", { [NAMES.serverId]: attempt.server, [NAMES.refusingServer]: "10.0.0.1:1" });
    }
    await fixture.runUntilSettled(rejected.done);
    t.is(fixture.directory.candidates(DRAFTS).length, 3);
    t.false(fixture.context.service(DRAFTS).groups.named(undefined).isDown);
    const { done, reply } = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 2).complete();
    await fixture.runUntilSettled(done);
    t.is(reply.state, "ended");
});
