import test from "ava";
import { AgentFixture, lastEventCase } from "./agentFixture.ts";

/** Time for which the callers of these tests wait, in milliseconds. */
const REMAINING_MS = 5_000;

test.serial("an answer that is slow but sound is delivered to its end", async t => {
    const fixture = await AgentFixture.start({ kind: "model" });
    const sent = await fixture.sendAndWait("slow", { remainingMs: REMAINING_MS });
    const call = fixture.backend.call("slow");
    call.events.push({ kind: "head", status: 200, headers: [["content-type", "text/event-stream"]] });
    for (let count = 0; count < 4; count++) {
        await fixture.clock.advance(1_100);
        call.sendTokens(1);
    }
    call.events.push({ kind: "end", finishReason: "length" });
    await fixture.clock.advance(10);
    t.is(lastEventCase(sent), "end");
    t.is(fixture.backend.runsOf("slow"), 1);
});

test.serial("an answer that stalls and sends a byte now and then ends with the caller's time", async t => {
    const fixture = await AgentFixture.start();
    const sent = await fixture.sendAndWait("stalled", { remainingMs: REMAINING_MS });
    const call = fixture.backend.call("stalled");
    call.events.push({ kind: "head", status: 200, headers: [] });
    for (let elapsedMs = 0; elapsedMs < REMAINING_MS + 500; elapsedMs += 100) {
        call.events.push({ kind: "body", bytes: Buffer.from("x") });
        await fixture.clock.advance(100);
    }
    t.true(call.signal.aborted);
    t.is(fixture.backend.running, 0);
    t.not(lastEventCase(sent), "end");
});

test.serial("a booking whose answer stalls gives its slot back some time after its caller's time", async t => {
    const fixture = await AgentFixture.start();
    const sent = await fixture.sendAndWait("booking", {
        remainingMs: REMAINING_MS,
        isRepeatable: false,
        ticket: fixture.ticket(1),
    });
    const call = fixture.backend.call("booking");
    call.events.push({ kind: "head", status: 200, headers: [] });
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 500) {
        if (elapsedMs < REMAINING_MS + 5_000) {
            t.false(call.signal.aborted, "a booking runs on after its caller has left");
        }
        call.events.push({ kind: "body", bytes: Buffer.from("x") });
        await fixture.clock.advance(500);
    }
    t.true(call.signal.aborted);
    t.is(fixture.backend.running, 0);
    t.is(lastEventCase(sent), "unknown");
});
