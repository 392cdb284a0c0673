import test from "ava";
import { DirectFixture, DRAFTS, NAMES } from "./directFixture.ts";

const IDS = ["a", "bb", "ccc"];

/** A group that is down: a server refused a request because a rank is missing. */
const downFixture = async (): Promise<DirectFixture> => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, ...IDS);
    const { done } = fixture.send("draft");
    (await fixture.latestAttempt()).refuse({ [NAMES.refusingServer]: "missing" });
    await fixture.runUntilSettled(done);
    return fixture;
};

test.serial("while the group is down, requests are refused at once and reach no server", async t => {
    const fixture = await downFixture();
    t.is(fixture.attempts.length, 1);
    for (let request = 0; request < 5; request++) {
        const { done, reply } = fixture.send("draft");
        await fixture.runUntilSettled(done);
        t.is(reply.status, 503);
        const retryAfterS = Number(reply.header("retry-after"));
        t.true(retryAfterS > 1.5 && retryAfterS <= 8 / 3);
    }
    t.is(fixture.clock.nowMs(), 0);
    t.is(fixture.attempts.length, 1);
});

test.serial("retry delays are spread", async t => {
    const fixture = await downFixture();
    const retryDelays = new Set<string | undefined>();
    for (let request = 0; request < 10; request++) {
        const { done, reply } = fixture.send("draft");
        await fixture.runUntilSettled(done);
        retryDelays.add(reply.header("retry-after"));
    }
    t.true(retryDelays.size >= 9);
});

test.serial("an occasional request probes whether the group has recovered", async t => {
    const fixture = await downFixture();
    await fixture.clock.advance(1_000);
    const probe = fixture.send("draft");
    const refused = fixture.send("draft");
    await fixture.runUntilSettled(refused.done);
    t.is(refused.reply.status, 503);
    (await fixture.latestAttempt()).startStream().sendEvents(1, 1);
    const next = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 2).complete();
    await fixture.runUntilSettled(next.done);
    t.is(next.reply.state, "ended");
    fixture.attempts[1]?.complete();
    await fixture.runUntilSettled(probe.done);
});

test.serial("a started stream waits for its group as long as its caller does", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, ...IDS);
    const { done, reply } = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 3);
    const other = fixture.send("draft");
    (await fixture.latestAttempt()).refuse({ [NAMES.refusingServer]: "missing" });
    await fixture.runUntilSettled(other.done);
    fixture.attempts[0]?.breakConnection();
    await fixture.clock.advance(600);
    const resumed = fixture.attempts.at(-1);
    t.is(resumed?.header(NAMES.lastEventId), "3");
    resumed?.startStream().sendEvents(4, 5).complete();
    await fixture.runUntilSettled(done);
    t.is(reply.state, "ended");
});

test.serial("a stream whose group stays down is aborted before its caller gives up", async t => {
    const fixture = await downFixture();
    const { context } = fixture;
    context.service(DRAFTS).groups.named(undefined).markUp();
    const { done, reply } = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 3);
    context.service(DRAFTS).groups.named(undefined).markDown("missing");
    fixture.attempts.at(-1)?.breakConnection();
    const attempts = fixture.attempts.length;
    for (let step = 0; step < 50 && reply.state === "open"; step++) {
        await fixture.clock.advance(50);
        fixture.attempts.slice(attempts).forEach(call => call.refuse({ [NAMES.refusingServer]: "missing" }));
    }
    await fixture.runUntilSettled(done);
    t.is(reply.state, "broken");
    t.true(fixture.clock.nowMs() <= 2_000);
});

/** Remaining time of a caller who has returned after a refusal, in milliseconds. */
const RETURNING = { [NAMES.remainingMs]: "5300" };

test.serial("a caller who has returned is no probe, waits for the group, and is refused once that is of no use", async t => {
    const fixture = await downFixture();
    await fixture.clock.advance(2_300);
    const { done, reply } = fixture.send("draft", RETURNING);
    await fixture.clock.advance(1_500);
    t.is(reply.state, "open");
    await fixture.runUntilSettled(done);
    t.is(reply.status, 503);
    t.is(fixture.attempts.length, 1, "it was sent to a group that is down");
    t.true(fixture.clock.nowMs() <= 2_300 + 1_700);
});

test.serial("a caller who has returned is served as soon as the group is up", async t => {
    const fixture = await downFixture();
    await fixture.clock.advance(2_300);
    const returned = fixture.send("draft", RETURNING);
    const probe = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 1);
    t.is(fixture.attempts.length, 2);
    await fixture.clock.advance(60);
    t.is(fixture.attempts.length, 3);
    fixture.attempts[2]?.startStream().sendEvents(1, 2).complete();
    fixture.attempts[1]?.sendEvents(2, 2).complete();
    await Promise.all([returned.done, probe.done]);
    t.is(returned.reply.state, "ended");
});

test.serial("a request that was refused as a probe is not sent again", async t => {
    const fixture = await downFixture();
    await fixture.clock.advance(900);
    fixture.addServers(DRAFTS, "dddd");
    await fixture.clock.advance(100);
    const { done, reply } = fixture.send("draft");
    (await fixture.latestAttempt()).refuse({ [NAMES.refusingServer]: "missing" });
    await fixture.runUntilSettled(done);
    t.is(reply.status, 503);
    t.is(fixture.attempts.length, 2);
});

test.serial("new requests wait for a short while once a server has published itself anew", async t => {
    const fixture = await downFixture();
    await fixture.clock.advance(1_000);
    fixture.addServers(DRAFTS, "dddd");
    const probe = fixture.send("draft");
    const waiting = fixture.send("draft");
    const attempt = await fixture.latestAttempt();
    await fixture.clock.advance(300);
    t.is(waiting.reply.state, "open");
    attempt.startStream().sendEvents(1, 1);
    await fixture.clock.advance(60);
    t.is(fixture.attempts.length, 3);
    fixture.attempts[2]?.startStream().sendEvents(1, 1).complete();
    attempt.complete();
    await Promise.all([probe.done, waiting.done]);
    t.is(waiting.reply.state, "ended");
});

test.serial("a server that has just started, and whose group is not known, does not end the wait", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, ...IDS);
    for (const server of fixture.directory.all()) {
        server.groupName = "g1";
    }
    const first = fixture.send("draft");
    (await fixture.latestAttempt()).refuse({ [NAMES.refusingServer]: "missing" });
    await fixture.runUntilSettled(first.done);
    await fixture.clock.advance(2_300);
    fixture.addServers(DRAFTS, "dddd");
    const returned = fixture.send("draft", RETURNING);
    await fixture.clock.advance(500);
    t.is(returned.reply.state, "open");
    fixture.context.service(DRAFTS).groups.named("g1").markUp();
    await fixture.clock.advance(60);
    fixture.attempts.at(-1)?.startStream().sendEvents(1, 2).complete();
    await returned.done;
    t.is(returned.reply.state, "ended");
});
