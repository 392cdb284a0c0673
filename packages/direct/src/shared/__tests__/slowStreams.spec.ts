import test from "ava";
import { DirectFixture, DRAFTS } from "./directFixture.ts";

/** Pause between the events of a stream that is slow but sound: just below what its callers bear, in milliseconds. */
const SLOW_GAP_MS = 1_900;
/** Timeout of the route, in milliseconds. */
const TIMEOUT_MS = 8_000;

test.serial("a stream that is slow but sound is delivered to its end by one server", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a", "bb");
    const { done, reply } = fixture.send("draft");
    const attempt = await fixture.latestAttempt();
    attempt.startStream();
    for (let event = 1; event <= 4; event++) {
        await fixture.clock.advance(SLOW_GAP_MS);
        attempt.sendEvents(event, event);
    }
    attempt.complete();
    await fixture.runUntilSettled(done);
    t.is(fixture.attempts.length, 1);
    t.is(reply.state, "ended");
    t.true(reply.text.endsWith("data: 4\n\n"));
});

for (const [name, bytes] of Object.entries({ "a piece of an event": "x", "a comment": ":\n" })) {
    test.serial(`a stream that stalls and sends ${name} now and then ends with the time for the request`, async t => {
        const fixture = new DirectFixture();
        fixture.addServers(DRAFTS, "a");
        const { done, reply } = fixture.send("draft");
        const attempt = await fixture.latestAttempt();
        attempt.startStream().sendEvents(1, 2);
        for (let elapsedMs = 0; elapsedMs < TIMEOUT_MS + 100; elapsedMs += 100) {
            attempt.sendData(bytes);
            await fixture.clock.advance(100);
        }
        await done;
        t.not(attempt.abortReason, undefined);
        t.is(reply.state, "broken", "an answer that has not ended must not look complete");
    });
}

test.serial("a group that sends bytes but no events counts as silent", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a", "bb");
    for (const server of fixture.directory.all()) {
        server.groupName = server.entry.id;
    }
    fixture.send("draft");
    const attempt = await fixture.latestAttempt();
    attempt.startStream().sendEvents(1, 1);
    for (let count = 0; count < 10; count++) {
        await fixture.clock.advance(100);
        attempt.sendData("x");
    }
    const { groups } = fixture.context.service(DRAFTS);
    t.true(groups.named(attempt.server).isSilent);
    for (let count = 0; count < 4; count++) {
        fixture.send("draft");
        const later = await fixture.latestAttempt();
        t.not(later.server, attempt.server);
        later.startStream().sendEvents(1, 1);
    }
});
