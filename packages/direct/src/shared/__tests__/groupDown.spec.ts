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
