import { seedFaults } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";
import test from "ava";
import { ISOLATED_AFTER_MS } from "../configurationFreshness.ts";
import { AgentFixture, type SentRequest } from "./agentFixture.ts";

const reasonOf = ({ events }: SentRequest): RefusalReason | undefined => {
    const last = events.at(-1)?.event;
    return last?.case === "refused" ? last.value.reason : undefined;
};

/** Pauses the agent for a time; messages sent to it during the pause arrive when it resumes. */
const pause = async (fixture: AgentFixture, durationMs: number): Promise<void> => {
    fixture.runtime.process.pause();
    await fixture.clock.advance(durationMs);
    fixture.runtime.process.resume();
    await fixture.clock.advance(10);
};

test.serial("trace 1: a pause refuses waiting calls and, until a confirmation, new calls", async t => {
    const fixture = await AgentFixture.start({ cold: 1 });
    await fixture.sendAndWait("running");
    const queued = await fixture.sendAndWait("queued");
    fixture.runtime.process.pause();
    fixture.backend.call("running").finish();
    const sentDuringPause = fixture.send("late");
    await fixture.clock.advance(3_000);
    fixture.runtime.process.resume();
    await fixture.clock.advance(10);
    t.is(reasonOf(queued), RefusalReason.NOT_READY);
    t.is(reasonOf(sentDuringPause), RefusalReason.NOT_READY);
    t.is(fixture.backend.calls.length, 1);
    fixture.store.confirm(fixture.runtime.clock.nowMs());
    await fixture.sendAndWait("after");
    t.is(fixture.backend.runsOf("after"), 1);
});

test.serial("trace 1, negative control: seeded fault agent.skip-pause-check starts the call", async t => {
    const fixture = await AgentFixture.start({ cold: 1 });
    using _fault = seedFaults(["agent.skip-pause-check"]);
    await fixture.sendAndWait("running");
    await fixture.sendAndWait("queued");
    await pause(fixture, 3_000);
    fixture.backend.call("running").finish();
    await fixture.clock.advance(10);
    t.is(fixture.backend.runsOf("queued"), 1);
});

test.serial("a confirmation from before the end of the pause does not count", async t => {
    const fixture = await AgentFixture.start();
    const beforeMs = fixture.runtime.clock.nowMs();
    await pause(fixture, 2_000);
    fixture.store.confirm(beforeMs + 1_000);
    t.is(reasonOf(await fixture.sendAndWait("early")), RefusalReason.NOT_READY);
});

test.serial("no new call starts in a data centre that was taken out during the pause", async t => {
    const fixture = await AgentFixture.start();
    await pause(fixture, 2_000);
    fixture.publish(["out recife"]);
    fixture.store.confirm(fixture.runtime.clock.nowMs());
    t.is(reasonOf(await fixture.sendAndWait("late")), RefusalReason.DRAINING);
    t.is(fixture.backend.calls.length, 0);
});

test.serial("without a confirmation an agent accepts calls again after the isolation time", async t => {
    const fixture = await AgentFixture.start();
    await pause(fixture, 2_000);
    await fixture.clock.advance(ISOLATED_AFTER_MS - 100);
    t.is(reasonOf(await fixture.sendAndWait("early")), RefusalReason.NOT_READY);
    await fixture.clock.advance(200);
    await fixture.sendAndWait("late");
    t.is(fixture.backend.runsOf("late"), 1);
});

test.serial("a pause ends the warmth lease", async t => {
    const fixture = await AgentFixture.start();
    await fixture.warmUp();
    await pause(fixture, 1_500);
    t.is(fixture.agent.context.lease.limit, 2);
});

test.serial("a pause between the arrival of a call and its start is detected", async t => {
    const fixture = await AgentFixture.start({ cold: 1 });
    await fixture.sendAndWait("running");
    const queued = await fixture.sendAndWait("queued");
    fixture.runtime.process.pause();
    fixture.backend.call("running").finish();
    await fixture.clock.advance(1_500);
    fixture.runtime.process.resume();
    await fixture.clock.advance(10);
    t.is(reasonOf(queued), RefusalReason.NOT_READY);
});
