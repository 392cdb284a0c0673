import { seedFaults } from "@magnolialock/kernel";
import { RecallOutcome, RefusalReason } from "@magnolialock/protocol";
import test from "ava";
import { BackendBrokenError, BackendRefusedError } from "../../types/backend.ts";
import { AgentFixture, lastEventCase, type SentRequest } from "./agentFixture.ts";

const nonRepeatable = (ticket: string) => ({ isRepeatable: false, ticket });

const bodyOf = ({ events }: SentRequest): string =>
    events.flatMap(({ event }) => event.case === "body" ? [Buffer.from(event.value.bytes).toString()] : [])
        .join("");

const recall = async (fixture: AgentFixture, ticket: string, waitMs = 0) => {
    const response = fixture.client.recall({ requestId: "recall", ticket, waitMs });
    return await fixture.clock.runUntilSettled(response, 20_000);
};

test.serial("trace 2: a retry of an answered booking gets the stored answer, not a second run", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    fixture.backend.call("b1").finish();
    await fixture.clock.advance(10);
    const again = await fixture.sendAndWait("b1-again", { ...nonRepeatable(ticket), attempt: 7 });
    await fixture.clock.advance(10);
    t.is(lastEventCase(again), "end");
    t.is(bodyOf(again), "answer to b1");
    t.true(again.events.every(({ requestId, attempt }) => requestId === "b1-again" && attempt === 7));
    t.is(fixture.backend.calls.length, 1);
});

test.serial("trace 2, negative control: seeded fault agent.forget-journal runs it twice", async t => {
    const fixture = await AgentFixture.start();
    using _fault = seedFaults(["agent.forget-journal"]);
    const ticket = fixture.ticket(1);
    for (const id of ["b1", "b1-again"]) {
        await fixture.sendAndWait(id, nonRepeatable(ticket));
        fixture.backend.call(id).finish();
        await fixture.clock.advance(10);
    }
    t.is(fixture.backend.calls.length, 2);
});

test.serial("a retry of a running booking gets the answer of the same run", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    const again = await fixture.sendAndWait("b1", nonRepeatable(ticket));
    fixture.backend.call("b1").finish();
    await fixture.clock.advance(10);
    t.is(lastEventCase(again), "end");
    t.is(fixture.backend.calls.length, 1);
});

test.serial("a booking runs to completion and its answer is stored after the entry is gone", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    const gone = new AbortController();
    const request = { requestId: "b1", service: "painel", remainingMs: 5_000, ticket };
    const read = (async () => {
        for await (const _event of fixture.client.run(request, { signal: gone.signal })) {
            // The entry disconnects before the answer.
        }
    })().catch(() => {});
    await fixture.clock.advance(5);
    gone.abort();
    await read;
    await fixture.clock.advance(5);
    fixture.backend.call("b1").finish();
    await fixture.clock.advance(5);
    t.is((await recall(fixture, ticket)).outcome, RecallOutcome.FINISHED);
});

test.serial("trace 3: a retry at a new incarnation ends unknown, neither refused nor run again", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    await fixture.restartAgent();
    await fixture.clock.advance(2_000);
    const again = await fixture.sendAndWait("b1", nonRepeatable(ticket));
    t.is(lastEventCase(again), "unknown");
    t.is(fixture.backend.calls.length, 1);
    t.is((await recall(fixture, ticket)).outcome, RecallOutcome.UNKNOWN);
});

test.serial("trace 3, negative control: seeded fault agent.skip-ticket-check runs it again", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    await fixture.restartAgent();
    await fixture.clock.advance(2_000);
    using _fault = seedFaults(["agent.skip-ticket-check"]);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    t.is(fixture.backend.calls.length, 2);
});

test.serial("a waiting request that is recalled never starts", async t => {
    const fixture = await AgentFixture.start({ cold: 1 });
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("running");
    const waiting = await fixture.sendAndWait("b1", nonRepeatable(ticket));
    t.is((await recall(fixture, ticket)).outcome, RecallOutcome.NEVER_STARTED);
    fixture.backend.call("running").finish();
    await fixture.clock.advance(10);
    t.is(lastEventCase(waiting), "refused");
    t.is(lastEventCase(await fixture.sendAndWait("b1", nonRepeatable(ticket))), "refused");
    t.is(fixture.backend.runsOf("b1"), 0);
});

test.serial("a request that arrives after its recall is refused", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    t.is((await recall(fixture, ticket)).outcome, RecallOutcome.NEVER_STARTED);
    t.is(lastEventCase(await fixture.sendAndWait("b1", nonRepeatable(ticket))), "refused");
    t.is(fixture.backend.calls.length, 0);
});

test.serial("a recall of a running request reports it as running or waits for its end", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    t.is((await recall(fixture, ticket)).outcome, RecallOutcome.RUNNING);
    const waiting = fixture.client.recall({ requestId: "recall", ticket, waitMs: 1_000 });
    await fixture.clock.advance(100);
    fixture.backend.call("b1").finish();
    const { outcome, answer } = await fixture.clock.runUntilSettled(waiting, 500);
    t.is(outcome, RecallOutcome.FINISHED);
    t.is(answer.at(-1)?.event.case, "end");
});

test.serial("a request that the backend server refused was not run and may use a new ticket", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    const refused = await fixture.sendAndWait("b1", nonRepeatable(ticket));
    fixture.backend.call("b1").fail(new BackendRefusedError("busy"));
    await fixture.clock.advance(10);
    const last = refused.events.at(-1)?.event;
    t.is(last?.case === "refused" ? last.value.reason : undefined, RefusalReason.BACKEND_REFUSED);
    t.is((await recall(fixture, ticket)).outcome, RecallOutcome.NEVER_STARTED);
    await fixture.sendAndWait("b1", nonRepeatable(fixture.ticket(2)));
    t.is(fixture.backend.runsOf("b1"), 2);
});

test.serial("a request whose connection broke is reported as unknown, also to a retry", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    const broken = await fixture.sendAndWait("b1", nonRepeatable(ticket));
    fixture.backend.call("b1").fail(new BackendBrokenError("connection reset"));
    await fixture.clock.advance(10);
    t.is(lastEventCase(broken), "unknown");
    t.is(lastEventCase(await fixture.sendAndWait("b1", nonRepeatable(ticket))), "unknown");
    t.is(fixture.backend.calls.length, 1);
});

test.serial("negative control: seeded fault agent.false-not-run refuses a broken call", async t => {
    const fixture = await AgentFixture.start();
    using _fault = seedFaults(["agent.false-not-run"]);
    const broken = await fixture.sendAndWait("b1", nonRepeatable(fixture.ticket(1)));
    fixture.backend.call("b1").fail(new BackendBrokenError("connection reset"));
    await fixture.clock.advance(10);
    t.is(lastEventCase(broken), "refused");
});

test.serial("a request whose answer has no end is reported as unknown", async t => {
    const fixture = await AgentFixture.start();
    const sent = await fixture.sendAndWait("r1");
    fixture.backend.call("r1").events.push({ kind: "head", status: 200, headers: [] });
    fixture.backend.call("r1").events.close();
    await fixture.clock.advance(10);
    t.is(lastEventCase(sent), "unknown");
});

test.serial("a ticket that was used for another request or account is refused", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    fixture.backend.call("b1").finish();
    await fixture.clock.advance(10);
    for (const other of [{ body: Buffer.from("other") }, { clientAccount: "loja-2" }]) {
        const sent = await fixture.sendAndWait("b2", { ...nonRepeatable(ticket), ...other });
        const last = sent.events.at(-1)?.event;
        t.is(last?.case === "refused" ? last.value.reason : undefined, RefusalReason.WRONG_TICKET);
    }
    t.is(fixture.backend.calls.length, 1);
});

test.serial("a non-repeatable request without an idempotency key carries its ticket as the key", async t => {
    const fixture = await AgentFixture.start();
    const ticket = fixture.ticket(1);
    await fixture.sendAndWait("b1", nonRepeatable(ticket));
    t.deepEqual(fixture.backend.call("b1").request.headers, [["idempotency-key", ticket]]);
    const own = [{ name: "Idempotency-Key", value: "k1" }];
    await fixture.sendAndWait("b2", { ...nonRepeatable(fixture.ticket(2)), headers: own });
    t.deepEqual(fixture.backend.call("b2").request.headers, [["Idempotency-Key", "k1"]]);
});
