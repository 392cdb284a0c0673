import test from "ava";
import { ResponseBuffers } from "../responseBuffers.ts";
import { DirectFixture, DRAFTS } from "./directFixture.ts";

const MEBIBYTE = 1024 * 1024;

const trackedResponse = () => {
    const reasons: string[] = [];
    return { reasons, giveUp: (reason: string) => void reasons.push(reason) };
};

test("many large answers at a time do not fill the memory; ordinary ones survive", t => {
    const buffers = new ResponseBuffers();
    const small = trackedResponse();
    buffers.set(small, 4_000);
    const large = Array.from({ length: 10 }, trackedResponse);
    for (const response of large) {
        buffers.set(response, 4 * MEBIBYTE);
    }
    const kept = large.filter(({ reasons }) => reasons.length === 0).length;
    t.true(kept * 4 * MEBIBYTE <= 24 * MEBIBYTE, `${kept} kept`);
    t.true(kept > 0);
    t.deepEqual(small.reasons, []);
    large.forEach(response => buffers.set(response, 0));
    const next = trackedResponse();
    buffers.set(next, 7 * MEBIBYTE);
    t.deepEqual(next.reasons, []);
});

test.serial("a stream whose event does not end is given up before its time is over", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a");
    const { done } = fixture.send("draft");
    const attempt = (await fixture.latestAttempt()).startStream().sendEvents(1, 1);
    for (let chunk = 0; chunk < 40 && attempt.abortReason === undefined; chunk++) {
        attempt.sendData("x".repeat(16_384));
    }
    t.regex(attempt.abortReason ?? "", /event is larger/);
    t.is(fixture.clock.nowMs(), 0);
    await fixture.runUntilSettled(done);
});
