import { isFaultSeeded, seedFaults } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";
import test from "ava";
import { AgentFixture, lastEventCase, type SentRequest } from "./agentFixture.ts";

const refusalOf = ({ events }: SentRequest) => {
    const last = events.at(-1)?.event;
    return last?.case === "refused" ? last.value : undefined;
};

test.serial("at most as many calls as the cold limit run, the next one waits", async t => {
    const fixture = await AgentFixture.start({ cold: 2 });
    const first = await fixture.sendAndWait("a");
    await fixture.sendAndWait("b");
    await fixture.sendAndWait("c");
    t.is(fixture.backend.maxRunning, 2);
    fixture.backend.call("a").finish();
    await fixture.clock.advance(50);
    t.is(fixture.backend.runsOf("c"), 1);
    t.is(lastEventCase(first), "end");
});

test.serial("negative control: seeded fault agent.skip-admission starts calls above the limit", async t => {
    const fixture = await AgentFixture.start({ cold: 2 });
    using _fault = seedFaults(["agent.skip-admission"]);
    t.true(isFaultSeeded("agent.skip-admission"));
    ["a", "b", "c"].forEach(id => fixture.send(id));
    await fixture.clock.advance(50);
    t.is(fixture.backend.maxRunning, 3);
});

test.serial("status reads and bookings leave the queue before drafts and batch calls", async t => {
    const fixture = await AgentFixture.start({ cold: 1 });
    await fixture.sendAndWait("running");
    for (const [id, priority] of [["batch", 4], ["draft", 3], ["booking", 2], ["status", 1]] as const) {
        await fixture.sendAndWait(id, { priority });
    }
    for (const id of ["running", "status", "booking", "draft"]) {
        fixture.backend.call(id).finish();
        await fixture.clock.advance(10);
    }
    t.deepEqual(fixture.backend.calls.map(({ request }) => request.requestId), [
        "running",
        "status",
        "booking",
        "draft",
        "batch",
    ]);
});

test.serial("a call that cannot meet its deadline is refused at once with a retry delay", async t => {
    const fixture = await AgentFixture.start({ cold: 1, warm: 1, warmTime: "10s" });
    await fixture.serve(5, 1_000);
    await fixture.sendAndWait("running");
    await fixture.sendAndWait("waiting");
    const late = await fixture.sendAndWait("late", { remainingMs: 1_500 });
    const refused = refusalOf(late);
    t.is(refused?.reason, RefusalReason.DEADLINE);
    t.true((refused?.retryAfterMs ?? 0) >= 500 && (refused?.retryAfterMs ?? 0) <= 2_000);
    t.is(fixture.backend.runsOf("late"), 0);
});

test.serial("a waiting call is refused as soon as it can no longer meet its deadline", async t => {
    const fixture = await AgentFixture.start({ cold: 1, warm: 1, warmTime: "10s" });
    await fixture.serve(5, 1_000);
    await fixture.sendAndWait("running");
    const waiting = await fixture.sendAndWait("waiting", { remainingMs: 3_000 });
    await fixture.clock.advance(1_900);
    t.is(lastEventCase(waiting), undefined);
    await fixture.clock.advance(200);
    t.is(refusalOf(waiting)?.reason, RefusalReason.DEADLINE);
});

test.serial("a full queue refuses calls at once; an urgent call replaces a waiting batch call", async t => {
    const fixture = await AgentFixture.start({ cold: 1, queue: 2 });
    await fixture.sendAndWait("running");
    const batch = await fixture.sendAndWait("batch", { priority: 4 });
    await fixture.sendAndWait("draft", { priority: 3 });
    const another = await fixture.sendAndWait("another", { priority: 4 });
    t.is(refusalOf(another)?.reason, RefusalReason.OVERLOADED);
    t.true((refusalOf(another)?.retryAfterMs ?? 0) > 0);
    const booking = await fixture.sendAndWait("booking", { priority: 2 });
    t.is(refusalOf(batch)?.reason, RefusalReason.OVERLOADED);
    t.is(lastEventCase(booking), undefined);
});

test.serial("a call whose caller disconnects leaves the queue", async t => {
    const fixture = await AgentFixture.start({ cold: 1 });
    await fixture.sendAndWait("running");
    const gone = new AbortController();
    const events = fixture.client.run({
        requestId: "gone",
        service: "painel",
        remainingMs: 5_000,
        isRepeatable: true,
    }, {
        signal: gone.signal,
    });
    const read = (async () => {
        for await (const _event of events) {
            t.fail("a call that never started must not be answered");
        }
    })().catch(() => {});
    await fixture.clock.advance(10);
    t.is(fixture.agent.context.admission.queued, 1);
    gone.abort();
    await read;
    await fixture.clock.advance(10);
    t.is(fixture.agent.context.admission.queued, 0);
});

test.serial("the backlog of one account makes no call of another account miss its deadline", async t => {
    const fixture = await AgentFixture.start({ cold: 1, warm: 1, warmTime: "10s" });
    await fixture.serve(5, 500);
    await fixture.sendAndWait("running");
    for (let index = 0; index < 6; index++) {
        await fixture.sendAndWait(`flood-${index}`, { clientAccount: "flood" });
    }
    const own = await fixture.sendAndWait("own", { clientAccount: "small", remainingMs: 2_500 });
    const more = await fixture.sendAndWait("more", { clientAccount: "flood", remainingMs: 2_500 });
    t.is(lastEventCase(own), undefined);
    t.is(refusalOf(more)?.reason, RefusalReason.DEADLINE);
});
