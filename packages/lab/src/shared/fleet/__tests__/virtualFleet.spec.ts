import type { AnswerEvent, CallerRequest } from "@magnolialock/entry";
import { branded, type ClientAccountId, type RequestId, type ServiceName } from "@magnolialock/kernel";
import test from "ava";
import { tokenText } from "../../standIns/simulatedEngine.ts";
import { LETREIRO_SHAPE } from "../fleetRules.ts";
import { VirtualFleet } from "../virtualFleet.ts";

const draft = (id: string, tokens: number): CallerRequest => ({
    requestId: branded<RequestId>(id),
    account: branded<ClientAccountId>("loja-1"),
    service: branded<ServiceName>("redator"),
    method: "POST",
    path: "/v1/completions",
    headers: [],
    body: Buffer.from(JSON.stringify({ prompt: `prompt of ${id}`, max_tokens: tokens, stream: true })),
});

const booking = (id: string): CallerRequest => ({
    ...draft(id, 1),
    service: branded<ServiceName>("painel"),
    path: "/bookings",
    body: Buffer.from(id),
});

const tokensOf = (events: readonly AnswerEvent[]): string =>
    events.flatMap(event => event.kind === "tokens" ? event.texts : []).join("");

const expectedTokens = (id: string, count: number): string =>
    Array.from({ length: count }, (_, index) => tokenText(`prompt of ${id}`, index)).join("");

test("a draft is answered completely", async t => {
    const fleet = await VirtualFleet.start({ shape: LETREIRO_SHAPE, seed: 1 });
    await fleet.clock.advance(2_000);
    const events: AnswerEvent[] = [];
    const served = fleet.call("entry-recife-1", draft("r1", 30), event => events.push(event));
    await fleet.clock.runUntilSettled(served, 10_000);
    t.is(tokensOf(events), expectedTokens("r1", 30));
    t.is(events.at(-1)?.kind, "end");
});

test("a draft resumes on another replica after its engine died", async t => {
    const fleet = await VirtualFleet.start({ shape: LETREIRO_SHAPE, seed: 2 });
    await fleet.clock.advance(2_000);
    const events: AnswerEvent[] = [];
    const served = fleet.call("entry-recife-1", draft("r2", 40), event => events.push(event));
    await fleet.clock.advance(400);
    const busyBackend = [...fleet.backends.values()].find(({ engine }) => (engine?.running ?? 0) > 0);
    t.true(tokensOf(events).length > 0);
    busyBackend?.engine?.restart();
    await fleet.clock.runUntilSettled(served, 10_000);
    t.is(tokensOf(events), expectedTokens("r2", 40));
    t.is(events.at(-1)?.kind, "end");
});

test("a booking runs once, and a retry with its ticket does not run it again", async t => {
    const fleet = await VirtualFleet.start({ shape: LETREIRO_SHAPE, seed: 3 });
    await fleet.clock.advance(2_000);
    const events: AnswerEvent[] = [];
    await fleet.clock.runUntilSettled(
        fleet.call("entry-natal-1", booking("b1"), event => events.push(event)),
        10_000,
    );
    const ticket = events.find(event => event.kind === "ticket");
    t.truthy(ticket);
    const retryEvents: AnswerEvent[] = [];
    const retry = { ...booking("b1"), ticket: ticket?.kind === "ticket" ? ticket.ticket : "" };
    await fleet.clock.runUntilSettled(
        fleet.call("entry-recife-1", retry, event => retryEvents.push(event)),
        10_000,
    );
    t.is(retryEvents.at(-1)?.kind, "end");
    const runs = [...fleet.backends.values()].flatMap(({ plain }) => plain?.runs ?? []);
    t.is(runs.filter(run => run.requestId === "b1").length, 1);
});

test("a data centre that is taken out gets no new requests", async t => {
    const fleet = await VirtualFleet.start({ shape: LETREIRO_SHAPE, seed: 4 });
    await fleet.clock.advance(2_000);
    fleet.publish({ out: ["recife"] });
    await fleet.clock.advance(500);
    const events: AnswerEvent[] = [];
    await fleet.clock.runUntilSettled(
        fleet.call("entry-recife-1", draft("r4", 5), event => events.push(event)),
        10_000,
    );
    t.is(events.at(-1)?.kind, "end");
    const recifeBackends = [...fleet.backends.values()].filter(({ server }) =>
        server.dataCentre === "recife"
    );
    t.is(recifeBackends.flatMap(({ engine }) => engine?.starts ?? []).length, 0);
});
