import { createClient } from "@connectrpc/connect";
import { type Address, branded, seedFaults } from "@magnolialock/kernel";
import { createRandomSource } from "@magnolialock/kernel";
import { AgentService, type AgentState, RefusalReason } from "@magnolialock/protocol";
import { createVirtualRuntime } from "@magnolialock/test-support";
import test from "ava";
import { AgentFixture, lastCase, type SentRequest } from "./agentFixture.ts";

/** Drain of the fixture, 2 s, then 5 s in which tickets are still answered, then the last answers. */
const LONGEST_STOP_MS = 8_000;

const reasonOf = ({ events }: SentRequest): RefusalReason | undefined => {
    const last = events.at(-1)?.event;
    return last?.case === "refused" ? last.value.reason : undefined;
};

/** Follows the agent's reports with a period that is too long to matter. */
const watch = (fixture: AgentFixture): AgentState[] => {
    const states: AgentState[] = [];
    const runtime = createVirtualRuntime({
        name: "entry-watching",
        dataCentre: "recife",
        network: fixture.network,
        random: createRandomSource(2),
    });
    const client = createClient(AgentService, runtime.network.transportTo(branded<Address>("10.1.0.1:7100")));
    void (async () => {
        for await (const state of client.watchState({ entry: "entry-watching", periodMs: 600_000 })) {
            states.push(state);
        }
    })().catch(() => {});
    return states;
};

test.serial("trace 11: a stop tells the entries at once, refuses new work and cuts nothing off", async t => {
    const fixture = await AgentFixture.start({ cold: 2 });
    const states = watch(fixture);
    const booking = await fixture.sendAndWait("b1", { isRepeatable: false, ticket: fixture.ticket(1) });
    const stream = await fixture.sendAndWait("s1");
    const queued = await fixture.sendAndWait("q1");
    const stopped = fixture.agent.stop();
    await fixture.clock.advance(5);
    t.true(states.at(-1)?.isDraining);
    t.is(reasonOf(queued), RefusalReason.DRAINING);
    t.is(reasonOf(await fixture.sendAndWait("new")), RefusalReason.DRAINING);
    await fixture.clock.advance(500);
    fixture.backend.call("b1").finish();
    fixture.backend.call("s1").finish();
    await fixture.clock.runUntilSettled(stopped, LONGEST_STOP_MS);
    await fixture.clock.advance(10);
    t.is(lastCase(booking), "end");
    t.is(lastCase(stream), "end");
    t.is(fixture.backend.calls.length, 2);
});

test.serial("trace 11: what is left at the longest time is told as unknown, not cut off", async t => {
    const fixture = await AgentFixture.start();
    const stream = await fixture.sendAndWait("s1");
    fixture.backend.call("s1").sendTokens(3);
    const stopped = fixture.agent.stop();
    await fixture.clock.runUntilSettled(stopped, LONGEST_STOP_MS);
    await fixture.clock.advance(10);
    t.is(lastCase(stream), "unknown");
    t.true(fixture.backend.call("s1").signal.aborted);
    t.true(fixture.eventNames().includes("agent.process.handed-over"));
});

test.serial("a drain or an out line refuses new and waiting work, what runs goes on", async t => {
    for (const line of ["drain painel-1", "out recife"]) {
        const fixture = await AgentFixture.start({ cold: 1 });
        const running = await fixture.sendAndWait("running");
        const queued = await fixture.sendAndWait("queued");
        fixture.publish([line]);
        await fixture.clock.advance(5);
        t.is(reasonOf(queued), RefusalReason.DRAINING);
        t.is(reasonOf(await fixture.sendAndWait("new")), RefusalReason.DRAINING);
        fixture.backend.call("running").finish();
        await fixture.clock.advance(5);
        t.is(lastCase(running), "end");
        fixture.publish();
        await fixture.sendAndWait("back");
        t.is(fixture.backend.runsOf("back"), 1);
    }
});

test.serial("the seeded fault starts work in a data centre that is out, so the test above can fail", async t => {
    const fixture = await AgentFixture.start();
    fixture.publish(["out recife"]);
    using _fault = seedFaults(["agent.skip-drain-check"]);
    await fixture.sendAndWait("new");
    t.is(fixture.backend.runsOf("new"), 1);
});

test.serial("changes of the limit and of the configuration are reported at once", async t => {
    const fixture = await AgentFixture.start();
    const states = watch(fixture);
    await fixture.clock.advance(10);
    fixture.publish();
    await fixture.clock.advance(5);
    t.is(Number(states.at(-1)?.revision), 2);
    await fixture.serve(3, 10);
    await fixture.clock.advance(1_000);
    await fixture.serve(1, 10);
    t.is(states.at(-1)?.limit, 4);
});

test.serial("a second agent waits until its address is free", async t => {
    const fixture = await AgentFixture.start();
    const first = fixture.agent;
    await fixture.sendAndWait("running");
    const second = fixture.startAgent();
    await fixture.clock.advance(500);
    t.true(fixture.eventNames().includes("agent.process.address-taken"));
    t.is(fixture.agent, first);
    const stopped = first.stop();
    fixture.backend.call("running").finish();
    await fixture.clock.runUntilSettled(Promise.all([stopped, second]), LONGEST_STOP_MS);
    t.not(fixture.agent.context.incarnation, first.context.incarnation);
    await fixture.clock.advance(2_000);
    await fixture.sendAndWait("next");
    t.is(fixture.backend.runsOf("next"), 1);
});
