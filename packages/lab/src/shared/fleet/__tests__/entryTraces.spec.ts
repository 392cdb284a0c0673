import type { AnswerEvent, CallerRequest } from "@magnolialock/entry";
import {
    branded,
    type ClientAccountId,
    type RequestId,
    seedFaults,
    type ServiceName,
} from "@magnolialock/kernel";
import test from "ava";
import type { CallRecord } from "../../load/callRecord.ts";
import { LETREIRO_SHAPE } from "../fleetRules.ts";
import { CalledFleet } from "./fleetCallers.ts";

const busyEngine = ({ fleet }: CalledFleet) =>
    [...fleet.backends.values()].find(({ engine }) => (engine?.running ?? 0) > 0);

/** A draft whose engine dies in the middle of the answer. */
const breakDraft = async (): Promise<CallRecord> => {
    const called = await CalledFleet.start(11);
    const record = called.send("entry-recife-1", "draft");
    await called.fleet.clock.advance(400);
    busyEngine(called)?.engine?.restart();
    await called.fleet.clock.advance(20_000);
    return record;
};

/** A booking whose agent can no longer reach its entry once it has started. */
const loseBooking = async (): Promise<{ readonly called: CalledFleet; readonly record: CallRecord; }> => {
    const called = await CalledFleet.start(12);
    const record = called.send("entry-recife-1", "booking");
    while (called.starts.length === 0) {
        await called.fleet.clock.advance(0.1);
    }
    const [start] = called.starts;
    called.fleet.links.cut(
        ({ name }) => name === "entry-recife-1",
        ({ name }) => name === `agent-${start?.server}`,
    );
    await called.fleet.clock.advance(10_000);
    return { called, record };
};

test.serial("trace 1: an entry that wakes up after its data centre was taken out serves elsewhere or refuses truthfully", async t => {
    const called = await CalledFleet.start(10);
    called.fleet.pause("entry-recife-1");
    const draft = called.send("entry-recife-1", "draft");
    const booking = called.send("entry-recife-1", "booking", { timeoutMs: 5_000 });
    called.fleet.publish({ out: ["recife"] });
    // A ticket for an incarnation that the entry saw before its pause would end as "outcome unknown".
    await Promise.all(["painel-1", "painel-2", "painel-3"].map(name => called.fleet.replaceAgent(name)));
    // Shorter than the lifetime of a view, so that only the noticed pause ends it.
    await called.fleet.clock.advance(1_500);
    const outMs = called.fleet.clock.nowMs();
    called.fleet.wake("entry-recife-1");
    await called.fleet.clock.advance(1_000);
    // The caller of the booking may have gone elsewhere during the pause; it is told at once that its try has not run.
    t.like(booking.ending, { kind: "failed", code: "unavailable", ran: "not run" });
    const again = called.send("entry-recife-1", "booking", { timeoutMs: 5_000 });
    await called.fleet.clock.advance(20_000);
    t.deepEqual([draft.ending.kind, again.ending.kind], ["whole", "whole"]);
    t.true(called.starts.every(({ atMs }) => atMs >= outMs));
    const recife = [...called.fleet.backends.values()].filter(({ server }) => server.dataCentre === "recife");
    t.is(recife.flatMap(({ engine, plain }) => engine?.starts ?? plain?.runs ?? []).length, 0);
    const events = called.fleet.entries.get("entry-recife-1")?.runtime.events.recent() ?? [];
    t.true(events.some(({ definition }) => definition.name === "entry.process.paused"));
});

test.serial("trace 2: a lost answer of a booking is unknown, and its ticket gets it from another entry", async t => {
    const called = await CalledFleet.start(12);
    const events: AnswerEvent[] = [];
    const request: CallerRequest = {
        requestId: branded<RequestId>("booking-lost"),
        account: branded<ClientAccountId>("loja-1"),
        service: branded<ServiceName>("painel"),
        method: "POST",
        path: "/bookings",
        headers: [],
        body: Buffer.from("one"),
    };
    void called.fleet.call("entry-recife-1", request, event => events.push(event));
    while (called.starts.length === 0) {
        await called.fleet.clock.advance(0.1);
    }
    called.fleet.links.cut(({ name }) => name === "entry-recife-1", ({ name }) => name.startsWith("agent-"));
    await called.fleet.clock.advance(10_000);
    const last = events.at(-1);
    t.is(last?.kind === "failed" ? last.failure.ran : undefined, "outcome unknown");
    const ticket = events.find(event => event.kind === "ticket")?.ticket;
    const again: AnswerEvent[] = [];
    void called.fleet.call("entry-natal-1", { ...request, ticket }, event => again.push(event));
    await called.fleet.clock.advance(10_000);
    t.is(again.at(-1)?.kind, "end");
    t.is(called.starts.length, 1);
});

test.serial("trace 2: a retry of a booking elsewhere is a double run that the oracle finds", async t => {
    t.is((await loseBooking()).called.safety.doubleRuns, 0);
    using _fault = seedFaults(["entry.retry-booking"]);
    t.is((await loseBooking()).called.safety.doubleRuns, 1);
});

test.serial("a failure after a start never says not run", async t => {
    const { called, record } = await loseBooking();
    t.is(record.ending.kind === "failed" ? record.ending.ran : undefined, "outcome unknown");
    t.is(called.safety.falseNotRun, 0);
    using _fault = seedFaults(["entry.false-not-run"]);
    t.is((await loseBooking()).called.safety.falseNotRun, 1);
});

test.serial("a status read whose answers are all lost is not called not run at its deadline", async t => {
    const called = await CalledFleet.start(13);
    called.fleet.links.cutOneWay(
        ({ name }) => name.startsWith("agent-"),
        ({ name }) => name === "entry-recife-1",
    );
    const record = called.send("entry-recife-1", "status", { timeoutMs: 1_000 });
    await called.fleet.clock.advance(3_000);
    t.true(called.starts.length > 0);
    t.is(record.ending.kind === "failed" ? record.ending.ran : undefined, "outcome unknown");
    t.is(called.safety.falseNotRun, 0);
});

test.serial("a broken stream resumes with no token twice and none missing", async t => {
    t.is((await breakDraft()).ending.kind, "whole");
    using _fault = seedFaults(["entry.resume-off-by-one"]);
    t.is((await breakDraft()).ending.kind, "wrong");
});

test.serial("a caller never sees a short answer with a normal end", async t => {
    using _fault = seedFaults(["entry.short-answer-normal-end"]);
    t.is((await breakDraft()).ending.kind, "wrong");
});

test.serial("an entry that ignores an outage is refused by the agents, at the cost of attempts", async t => {
    const attemptsAfterOut = async (): Promise<number> => {
        const called = await CalledFleet.start(15);
        called.fleet.publish({ out: ["recife"] });
        await called.fleet.clock.advance(1_000);
        Array.from({ length: 20 }, () => called.send("entry-recife-1", "draft", { tokens: 4 }));
        await called.fleet.clock.advance(20_000);
        const recife = [...called.fleet.backends.values()].filter(({ server }) =>
            server.dataCentre === "recife"
        );
        t.is(recife.flatMap(({ engine }) => engine?.starts ?? []).length, 0);
        const events = called.fleet.entries.get("entry-recife-1")?.runtime.events.recent() ?? [];
        const names = new Set<unknown>(recife.map(({ server }) => server.name));
        return events.filter(({ definition, fields }) =>
            definition.name === "entry.attempt.sent" && names.has(fields["server"])
        ).length;
    };
    t.is(await attemptsAfterOut(), 0);
    using _fault = seedFaults(["entry.ignore-out"]);
    t.true(await attemptsAfterOut() > 0);
});

test.serial("trace 11: an entry that stops finishes its streams and bookings and refuses new ones", async t => {
    const called = await CalledFleet.start(16);
    const running = [
        called.send("entry-recife-1", "draft", { tokens: 100 }),
        called.send("entry-recife-1", "booking"),
    ];
    await called.fleet.clock.advance(4);
    const stopped = called.fleet.restartEntry("entry-recife-1");
    const late = called.send("entry-recife-1", "draft");
    await called.fleet.clock.runUntilSettled(stopped, 31_000);
    t.deepEqual(running.map(({ ending }) => ending.kind), ["whole", "whole"]);
    t.like(late.ending, { kind: "failed", code: "stopping", ran: "not run" });
    const next = called.send("entry-recife-1", "draft");
    await called.fleet.clock.advance(20_000);
    t.is(next.ending.kind, "whole");
});

test.serial("trace 11: what is left at the end of the drain gets a truthful failure", async t => {
    const called = await CalledFleet.start(17);
    const draft = called.send("entry-recife-1", "draft", { tokens: 4_000, timeoutMs: 60_000 });
    await called.fleet.clock.advance(1_000);
    await called.fleet.clock.runUntilSettled(called.fleet.restartEntry("entry-recife-1"), 31_000);
    t.like(draft.ending, { kind: "failed", code: "stopping", ran: "outcome unknown" });
});

test.serial("trace 14: replacing all entries of a data centre loses no request and doubles no limit", async t => {
    const ratePerS = 30;
    const accounts = LETREIRO_SHAPE.accounts.map(account => ({ ...account, ratePerS }));
    const called = await CalledFleet.start(18, { ...LETREIRO_SHAPE, accounts });
    const { clock } = called.fleet;
    const durationMs = 40_000;
    const endMs = clock.nowMs() + durationMs;
    const sendAll = (): void => {
        called.send(called.anyEntry(), "status", { timeoutMs: 2_000 });
        if (clock.nowMs() < endMs) {
            clock.setTimer(10, sendAll);
        }
    };
    sendAll();
    clock.setTimer(10_000, () => void called.fleet.restartEntry("entry-recife-1"));
    clock.setTimer(20_000, () => void called.fleet.restartEntry("entry-recife-2"));
    await clock.advance(durationMs + 3_000);
    const answered = called.records.filter(({ ending }) => ending.kind === "whole").length;
    const seconds = durationMs / 1_000;
    t.true(answered <= ratePerS * seconds * 1.1 + ratePerS, `${answered} calls were admitted`);
    t.true(answered >= ratePerS * seconds * 0.8, `${answered} calls were admitted`);
    const others = called.records.filter(({ ending }) => ending.kind !== "whole");
    t.deepEqual(
        [...new Set(others.map(({ ending }) => ending.kind === "failed" ? ending.code : ending.kind))],
        ["rate-limited"],
    );
});
