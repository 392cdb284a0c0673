import { seedFaults } from "@magnolialock/kernel";
import { Warmth } from "@magnolialock/protocol";
import test from "ava";
import { BackendBrokenError } from "../../types/backend.ts";
import { AgentFixture } from "./agentFixture.ts";

const warmthOf = (fixture: AgentFixture): Warmth => fixture.agent.context.lease.warmth;

/** Fills the server with plain calls of which the first ones are still to be answered. */
const fill = async (fixture: AgentFixture, count: number): Promise<string[]> => {
    const ids = Array.from({ length: count }, (_, index) => `fill-${index}`);
    ids.forEach(id => fixture.send(id));
    await fixture.clock.advance(5);
    return ids.filter(id => fixture.backend.runsOf(id) > 0);
};

test.serial("a server is cold until completions at warm speed prove it, then ramps in steps", async t => {
    const fixture = await AgentFixture.start({ cold: 2, warm: 8 });
    t.is(warmthOf(fixture), Warmth.COLD);
    await fixture.serve(5, 10);
    t.is(fixture.agent.context.limit, 2, "three proofs are not enough when they come within a second");
    await fixture.clock.advance(1_000);
    await fixture.serve(1, 10);
    t.is(fixture.agent.context.limit, 4);
    t.is(warmthOf(fixture), Warmth.WARMING);
    await fixture.warmUp();
    t.is(warmthOf(fixture), Warmth.WARM);
    t.is(fixture.agent.context.limit, 8);
});

test.serial("slow completions never prove a cold server warm", async t => {
    const fixture = await AgentFixture.start({ cold: 2, warm: 8 });
    await fixture.serve(20, 60);
    t.is(fixture.agent.context.limit, 2);
    t.is(warmthOf(fixture), Warmth.COLD);
});

test.serial("the evidence expires", async t => {
    const fixture = await AgentFixture.start();
    await fixture.warmUp();
    await fixture.clock.advance(10_100);
    t.is(fixture.agent.context.limit, 2);
});

test.serial("trace 7: a server that turns cold unseen gets nothing above the cold limit after the first sign", async t => {
    const fixture = await AgentFixture.start({ cold: 2, warm: 8 });
    await fixture.warmUp();
    const ids = await fill(fixture, 12);
    t.is(fixture.backend.running, 8);
    await fixture.clock.advance(60);
    const startsBefore = fixture.backend.calls.length;
    fixture.backend.call(ids[0] as string).finish();
    await fixture.clock.advance(50);
    t.is(fixture.agent.context.limit, 2);
    t.is(fixture.backend.calls.length, startsBefore);
    ids.slice(1, 6).forEach(id => fixture.backend.call(id).finish());
    await fixture.clock.advance(50);
    t.is(fixture.backend.running, 2);
    t.is(fixture.backend.calls.length, startsBefore);
});

test.serial("trace 7 fails without the cold limit: the seeded fault goes on starting", async t => {
    const fixture = await AgentFixture.start({ cold: 2, warm: 8 });
    using _fault = seedFaults(["agent.skip-cold-limit"]);
    const ids = await fill(fixture, 12);
    await fixture.clock.advance(60);
    fixture.backend.call(ids[0] as string).finish();
    await fixture.clock.advance(50);
    t.is(fixture.backend.running, 8);
});

test.serial("silence of all running calls is a sign before any of them ends", async t => {
    const fixture = await AgentFixture.start();
    await fixture.warmUp();
    await fill(fixture, 4);
    await fixture.clock.advance(60);
    t.is(fixture.agent.context.limit, 2);
});

test.serial("one slow completion suspends the lease, the next fast one restores it", async t => {
    const fixture = await AgentFixture.start({ warmTime: "20ms" });
    await fixture.warmUp();
    await fixture.serve(1, 30);
    t.is(fixture.agent.context.limit, 2);
    await fixture.serve(1, 10);
    t.is(fixture.agent.context.limit, 8);
});

test.serial("two slow completions one after the other end the lease", async t => {
    const fixture = await AgentFixture.start({ warmTime: "20ms" });
    await fixture.warmUp();
    await fixture.serve(2, 30);
    await fixture.serve(1, 10);
    t.is(fixture.agent.context.limit, 2);
});

test.serial("a new process of the backend server is cold", async t => {
    const fixture = await AgentFixture.start();
    await fixture.warmUp();
    fixture.backend.load = { ...fixture.backend.load, processId: "p2" };
    await fixture.clock.advance(300);
    t.is(fixture.agent.context.limit, 2);
});

test.serial("a broken connection is a sign", async t => {
    const fixture = await AgentFixture.start();
    await fixture.warmUp();
    await fixture.sendAndWait("broken");
    fixture.backend.call("broken").fail(new BackendBrokenError("connection reset"));
    await fixture.clock.advance(10);
    t.is(fixture.agent.context.limit, 2);
});

test.serial("the speed of tokens proves warmth and shows a cold turn in the middle of a stream", async t => {
    const fixture = await AgentFixture.start({ kind: "model", warmTime: "50ms" });
    const stream = async (id: string, tokens: number, gapMs: number): Promise<void> => {
        await fixture.sendAndWait(id);
        for (let index = 0; index < tokens; index++) {
            fixture.backend.call(id).sendTokens(1);
            await fixture.clock.advance(gapMs);
        }
    };
    for (const id of ["m1", "m2", "m3"]) {
        await stream(id, 15, 25);
        fixture.backend.call(id).events.push({ kind: "end", finishReason: "stop" });
        await fixture.clock.advance(5);
    }
    t.is(fixture.agent.context.limit, 4);
    await stream("slow", 2, 110);
    t.is(fixture.agent.context.limit, 2);
});

test.serial("a small last batch of an engine that computes several steps at once is no sign", async t => {
    const fixture = await AgentFixture.start({ kind: "model", warmTime: "50ms" });
    await fixture.sendAndWait("m1");
    for (let piece = 0; piece < 40; piece++) {
        fixture.backend.call("m1").sendTokens(4);
        await fixture.clock.advance(110);
    }
    t.true(fixture.agent.context.lease.isProven);
    fixture.backend.call("m1").sendTokens(1);
    await fixture.clock.advance(5);
    t.true(fixture.agent.context.lease.isProven);
    t.not(warmthOf(fixture), Warmth.COLD);
});

test.serial("a new incarnation assumes that its predecessor's calls still run", async t => {
    const fixture = await AgentFixture.start({ cold: 2 });
    await fixture.sendAndWait("old-1");
    await fixture.sendAndWait("old-2");
    fixture.backend.load = { ...fixture.backend.load, running: 2 };
    await fixture.replaceAgent();
    const waiting = fixture.send("new-1", { remainingMs: 9_000 });
    await fixture.clock.advance(3_000);
    t.is(fixture.backend.runsOf("new-1"), 0);
    fixture.backend.load = { ...fixture.backend.load, running: 1 };
    await fixture.clock.advance(300);
    t.is(fixture.backend.runsOf("new-1"), 1);
    t.is(waiting.events[0]?.event.case, "admitted");
});

test.serial("without load reports a new incarnation waits for the longest call of its predecessor", async t => {
    const fixture = await AgentFixture.start();
    fixture.backend.isLoadReadable = false;
    await fixture.replaceAgent();
    fixture.send("early", { remainingMs: 5_000 });
    await fixture.clock.advance(9_900);
    t.is(fixture.backend.runsOf("early"), 0);
    await fixture.clock.advance(200);
    await fixture.sendAndWait("late");
    t.is(fixture.backend.runsOf("late"), 1);
});

test.serial("a short silence of all running calls holds new starts back at the cold limit", async t => {
    const fixture = await AgentFixture.start({ warmTime: "20ms" });
    await fixture.warmUp();
    await fill(fixture, 4);
    await fixture.clock.advance(25);
    t.is(fixture.agent.context.limit, 2);
    await fixture.sendAndWait("fast");
    t.is(fixture.backend.runsOf("fast"), 0);
});
