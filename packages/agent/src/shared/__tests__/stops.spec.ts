import { createClient } from "@connectrpc/connect";
import { type Address, branded, seedFaults } from "@magnolialock/kernel";
import { createRandomSource } from "@magnolialock/kernel";
import { AgentService, type AgentState, RefusalReason } from "@magnolialock/protocol";
import { createVirtualRuntime } from "@magnolialock/test-support";
import test from "ava";
import { AgentFixture, lastEventCase, type SentRequest } from "./agentFixture.ts";

/** Upper bound of a stop: 2 s drain timeout of the fixture, 5 s for tickets, then the final events. */
const MAX_STOP_MS = 8_000;

const reasonOf = ({ events }: SentRequest): RefusalReason | undefined => {
    const last = events.at(-1)?.event;
    return last?.case === "refused" ? last.value.reason : undefined;
};

/** Collects the agent's state reports; the period is so long that only changes trigger reports. */
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

test.serial("trace 11: a stop is reported at once, refuses new calls, completes running ones", async t => {
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
    await fixture.clock.runUntilSettled(stopped, MAX_STOP_MS);
    await fixture.clock.advance(10);
    t.is(lastEventCase(booking), "end");
    t.is(lastEventCase(stream), "end");
    t.is(fixture.backend.calls.length, 2);
});

test.serial("trace 11: calls that still run at the drain timeout are reported as unknown", async t => {
    const fixture = await AgentFixture.start();
    const stream = await fixture.sendAndWait("s1");
    fixture.backend.call("s1").sendTokens(3);
    const stopped = fixture.agent.stop();
    await fixture.clock.runUntilSettled(stopped, MAX_STOP_MS);
    await fixture.clock.advance(10);
    t.is(lastEventCase(stream), "unknown");
    t.true(fixture.backend.call("s1").signal.aborted);
    t.true(fixture.eventNames().includes("agent.process.handed-over"));
});

test.serial("a drain or out rule refuses new and waiting calls, running calls continue", async t => {
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
        t.is(lastEventCase(running), "end");
        fixture.publish();
        await fixture.sendAndWait("back");
        t.is(fixture.backend.runsOf("back"), 1);
    }
});

test.serial("negative control: seeded fault agent.skip-drain-check starts a call despite out", async t => {
    const fixture = await AgentFixture.start();
    fixture.publish(["out recife"]);
    using _fault = seedFaults(["agent.skip-drain-check"]);
    await fixture.sendAndWait("new");
    t.is(fixture.backend.runsOf("new"), 1);
});

test.serial("changes of the limit and of the configuration are reported without delay", async t => {
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
    await fixture.clock.runUntilSettled(Promise.all([stopped, second]), MAX_STOP_MS);
    t.not(fixture.agent.context.incarnation, first.context.incarnation);
    await fixture.clock.advance(2_000);
    await fixture.sendAndWait("next");
    t.is(fixture.backend.runsOf("next"), 1);
});
