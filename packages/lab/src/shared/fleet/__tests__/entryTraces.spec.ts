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
import { FleetWithCallers } from "./fleetWithCallers.ts";

const findBusyBackend = ({ fleet }: FleetWithCallers) =>
    [...fleet.backends.values()].find(({ engine }) => (engine?.running ?? 0) > 0);

/** Sends a draft whose engine dies in the middle of the answer. */
const runInterruptedDraft = async (): Promise<CallRecord> => {
    const callers = await FleetWithCallers.start(11);
    const record = callers.send("entry-recife-1", "draft");
    await callers.fleet.clock.advance(400);
    findBusyBackend(callers)?.engine?.restart();
    await callers.fleet.clock.advance(20_000);
    return record;
};

/** Sends a booking and cuts the link between its entry and its agent once the booking has started. */
const runCutOffBooking = async (): Promise<
    { readonly callers: FleetWithCallers; readonly record: CallRecord; }
> => {
    const callers = await FleetWithCallers.start(12);
    const record = callers.send("entry-recife-1", "booking");
    while (callers.starts.length === 0) {
        await callers.fleet.clock.advance(0.1);
    }
    const [start] = callers.starts;
    callers.fleet.links.cut(
        ({ name }) => name === "entry-recife-1",
        ({ name }) => name === `agent-${start?.server}`,
    );
    await callers.fleet.clock.advance(10_000);
    return { callers, record };
};

test.serial("trace 1: an entry resumed with its data centre out serves elsewhere or says not run", async t => {
    const callers = await FleetWithCallers.start(10);
    callers.fleet.pause("entry-recife-1");
    const draft = callers.send("entry-recife-1", "draft");
    const booking = callers.send("entry-recife-1", "booking", { timeoutMs: 5_000 });
    callers.fleet.publish({ out: ["recife"] });
    // A ticket for an incarnation that the entry learned of before its pause would end as "outcome unknown".
    await Promise.all(["painel-1", "painel-2", "painel-3"].map(name => callers.fleet.replaceAgent(name)));
    // Shorter than the lifetime of the entry's view of the agents, so that only the detected pause
    // invalidates it.
    await callers.fleet.clock.advance(1_500);
    const resumedMs = callers.fleet.clock.nowMs();
    callers.fleet.resume("entry-recife-1");
    await callers.fleet.clock.advance(1_000);
    // The booking's caller may have tried another entry during the pause, so it is told at once that this try
    // did not run.
    t.like(booking.outcome, { kind: "failed", code: "unavailable", ran: "not run" });
    const secondBooking = callers.send("entry-recife-1", "booking", { timeoutMs: 5_000 });
    await callers.fleet.clock.advance(20_000);
    t.deepEqual([draft.outcome.kind, secondBooking.outcome.kind], ["whole", "whole"]);
    t.true(callers.starts.every(({ atMs }) => atMs >= resumedMs));
    const recifeBackends = [...callers.fleet.backends.values()].filter(({ server }) =>
        server.dataCentre === "recife"
    );
    t.is(recifeBackends.flatMap(({ engine, plain }) => engine?.starts ?? plain?.runs ?? []).length, 0);
    const events = callers.fleet.entries.get("entry-recife-1")?.runtime.events.recent() ?? [];
    t.true(events.some(({ definition }) => definition.name === "entry.process.paused"));
});

test.serial("trace 2: a booking with a lost answer is unknown; its ticket gets the answer elsewhere", async t => {
    const callers = await FleetWithCallers.start(12);
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
    void callers.fleet.call("entry-recife-1", request, event => events.push(event));
    while (callers.starts.length === 0) {
        await callers.fleet.clock.advance(0.1);
    }
    callers.fleet.links.cut(({ name }) => name === "entry-recife-1", ({ name }) => name.startsWith("agent-"));
    await callers.fleet.clock.advance(10_000);
    const last = events.at(-1);
    t.is(last?.kind === "failed" ? last.failure.ran : undefined, "outcome unknown");
    const ticket = events.find(event => event.kind === "ticket")?.ticket;
    const retryEvents: AnswerEvent[] = [];
    void callers.fleet.call("entry-natal-1", { ...request, ticket }, event => retryEvents.push(event));
    await callers.fleet.clock.advance(10_000);
    t.is(retryEvents.at(-1)?.kind, "end");
    t.is(callers.starts.length, 1);
});

test.serial("trace 2: the oracle finds the double run of a booking retried on another agent", async t => {
    t.is((await runCutOffBooking()).callers.safety.doubleRuns, 0);
    using _fault = seedFaults(["entry.retry-booking"]);
    t.is((await runCutOffBooking()).callers.safety.doubleRuns, 1);
});

test.serial("a failure after the start of a booking is never reported as not run", async t => {
    const { callers, record } = await runCutOffBooking();
    t.is(record.outcome.kind === "failed" ? record.outcome.ran : undefined, "outcome unknown");
    t.is(callers.safety.falseNotRun, 0);
    using _fault = seedFaults(["entry.false-not-run"]);
    t.is((await runCutOffBooking()).callers.safety.falseNotRun, 1);
});

test.serial("a status read whose answers are lost is not reported as not run at its deadline", async t => {
    const callers = await FleetWithCallers.start(13);
    callers.fleet.links.cutOneWay(
        ({ name }) => name.startsWith("agent-"),
        ({ name }) => name === "entry-recife-1",
    );
    const record = callers.send("entry-recife-1", "status", { timeoutMs: 1_000 });
    await callers.fleet.clock.advance(3_000);
    t.true(callers.starts.length > 0);
    t.is(record.outcome.kind === "failed" ? record.outcome.ran : undefined, "outcome unknown");
    t.is(callers.safety.falseNotRun, 0);
});

test.serial("a broken stream resumes without repeating or losing a token", async t => {
    t.is((await runInterruptedDraft()).outcome.kind, "whole");
    using _fault = seedFaults(["entry.resume-off-by-one"]);
    t.is((await runInterruptedDraft()).outcome.kind, "wrong");
});

test.serial("a truncated answer that ends normally is detected", async t => {
    using _fault = seedFaults(["entry.short-answer-normal-end"]);
    t.is((await runInterruptedDraft()).outcome.kind, "wrong");
});

test.serial("agents refuse the attempts of an entry that ignores that a data centre is out", async t => {
    const attemptsAfterOut = async (): Promise<number> => {
        const callers = await FleetWithCallers.start(15);
        callers.fleet.publish({ out: ["recife"] });
        await callers.fleet.clock.advance(1_000);
        Array.from({ length: 20 }, () => callers.send("entry-recife-1", "draft", { tokens: 4 }));
        await callers.fleet.clock.advance(20_000);
        const recifeBackends = [...callers.fleet.backends.values()].filter(({ server }) =>
            server.dataCentre === "recife"
        );
        t.is(recifeBackends.flatMap(({ engine }) => engine?.starts ?? []).length, 0);
        const events = callers.fleet.entries.get("entry-recife-1")?.runtime.events.recent() ?? [];
        const names = new Set<unknown>(recifeBackends.map(({ server }) => server.name));
        return events.filter(({ definition, fields }) =>
            definition.name === "entry.attempt.sent" && names.has(fields["server"])
        ).length;
    };
    t.is(await attemptsAfterOut(), 0);
    using _fault = seedFaults(["entry.ignore-out"]);
    t.true(await attemptsAfterOut() > 0);
});

test.serial("trace 11: a stopping entry completes its streams and bookings and refuses new ones", async t => {
    const callers = await FleetWithCallers.start(16);
    const running = [
        callers.send("entry-recife-1", "draft", { tokens: 100 }),
        callers.send("entry-recife-1", "booking"),
    ];
    await callers.fleet.clock.advance(4);
    const stopped = callers.fleet.restartEntry("entry-recife-1");
    const refused = callers.send("entry-recife-1", "draft");
    await callers.fleet.clock.runUntilSettled(stopped, 31_000);
    t.deepEqual(running.map(({ outcome }) => outcome.kind), ["whole", "whole"]);
    t.like(refused.outcome, { kind: "failed", code: "stopping", ran: "not run" });
    const next = callers.send("entry-recife-1", "draft");
    await callers.fleet.clock.advance(20_000);
    t.is(next.outcome.kind, "whole");
});

test.serial("trace 11: a draft that still runs at the drain timeout ends as outcome unknown", async t => {
    const callers = await FleetWithCallers.start(17);
    const draft = callers.send("entry-recife-1", "draft", { tokens: 4_000, timeoutMs: 60_000 });
    await callers.fleet.clock.advance(1_000);
    await callers.fleet.clock.runUntilSettled(callers.fleet.restartEntry("entry-recife-1"), 31_000);
    t.like(draft.outcome, { kind: "failed", code: "stopping", ran: "outcome unknown" });
});

test.serial("trace 14: replacing all entries of a data centre loses no request, doubles no limit", async t => {
    const ratePerS = 30;
    const accounts = LETREIRO_SHAPE.accounts.map(account => ({ ...account, ratePerS }));
    const callers = await FleetWithCallers.start(18, { ...LETREIRO_SHAPE, accounts });
    const { clock } = callers.fleet;
    const durationMs = 40_000;
    const endMs = clock.nowMs() + durationMs;
    const sendAll = (): void => {
        callers.send(callers.anyEntry(), "status", { timeoutMs: 2_000 });
        if (clock.nowMs() < endMs) {
            clock.setTimer(10, sendAll);
        }
    };
    sendAll();
    clock.setTimer(10_000, () => void callers.fleet.restartEntry("entry-recife-1"));
    clock.setTimer(20_000, () => void callers.fleet.restartEntry("entry-recife-2"));
    await clock.advance(durationMs + 3_000);
    const answered = callers.records.filter(({ outcome }) => outcome.kind === "whole").length;
    const seconds = durationMs / 1_000;
    t.true(answered <= ratePerS * seconds * 1.1 + ratePerS, `${answered} calls were admitted`);
    t.true(answered >= ratePerS * seconds * 0.8, `${answered} calls were admitted`);
    const unanswered = callers.records.filter(({ outcome }) => outcome.kind !== "whole");
    t.deepEqual(
        [
            ...new Set(
                unanswered.map(({ outcome }) => outcome.kind === "failed" ? outcome.code : outcome.kind),
            ),
        ],
        ["rate-limited"],
    );
});
