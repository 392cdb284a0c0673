import { type BackendServerId, branded, type IncarnationId } from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import { RequestJournal, type RequestJournalOptions } from "../requestJournal.ts";
import { parseTicket, type Ticket } from "../ticket.ts";

const ticketOf = (counter: number, issuer = "entry-1-a"): Ticket => ({
    server: branded<BackendServerId>("painel-1"),
    incarnation: branded<IncarnationId>("i1"),
    issuer,
    counter,
});

const createJournal = (options: Partial<RequestJournalOptions> = {}) => {
    const clock = new VirtualClock();
    return { clock, journal: new RequestJournal({ clock, ...options }) };
};

const finish = (journal: RequestJournal, ticket: Ticket, bytes = 10): void =>
    journal.record(ticket, { fingerprint: "f", entry: { kind: "finished", answer: new Uint8Array(bytes) } });

test("an answer is kept for the configured lifetime, then its outcome is unknown", async t => {
    const { clock, journal } = createJournal({ lifetimeMs: 1_000 });
    finish(journal, ticketOf(5));
    await clock.advance(900);
    t.is(journal.find(ticketOf(5))?.entry.kind, "finished");
    await clock.advance(200);
    t.is(journal.find(ticketOf(5))?.entry.kind, "unknown");
    t.is(journal.find(ticketOf(3))?.entry.kind, "unknown");
    t.is(journal.find(ticketOf(6)), undefined);
    t.is(journal.find(ticketOf(5, "entry-2-b")), undefined);
});

test("a running request is kept even when the low-water mark is above it", async t => {
    const { clock, journal } = createJournal({ lifetimeMs: 1_000 });
    journal.record(ticketOf(1), { fingerprint: "f", entry: { kind: "running", settled: Promise.resolve() } });
    finish(journal, ticketOf(2));
    await clock.advance(5_000);
    t.is(journal.find(ticketOf(1))?.entry.kind, "running");
    t.is(journal.find(ticketOf(2))?.entry.kind, "unknown");
});

test("at 1,000 requests/s the journal stays within its bounds and no old request looks new", async t => {
    const { clock, journal } = createJournal();
    for (let second = 0; second < 180; second++) {
        for (let index = 1; index <= 1_000; index++) {
            finish(journal, ticketOf(second * 1_000 + index), 300);
        }
        await clock.advance(1_000);
    }
    t.true(journal.settledCount <= 61_000);
    t.true(journal.answerBytes <= 24 * 1024 * 1024);
    t.is(journal.find(ticketOf(1))?.entry.kind, "unknown");
    t.is(journal.find(ticketOf(180_000))?.entry.kind, "finished");
});

test("large answers are evicted early to bound the total size", t => {
    const { journal } = createJournal({ maxAnswerBytes: 1_000 });
    for (let counter = 1; counter <= 20; counter++) {
        finish(journal, ticketOf(counter), 100);
    }
    t.is(journal.answerBytes, 1_000);
    t.is(journal.find(ticketOf(10))?.entry.kind, "unknown");
    t.is(journal.find(ticketOf(11))?.entry.kind, "finished");
});

test("an issuer is never forgotten; a new one above the limit is not accepted", t => {
    const { journal } = createJournal({ maxIssuers: 2 });
    finish(journal, ticketOf(1, "a"));
    finish(journal, ticketOf(1, "b"));
    t.true(journal.acceptsIssuer("a"));
    t.false(journal.acceptsIssuer("c"));
});

test("only well-formed tickets are parsed", t => {
    t.is(parseTicket("t2.painel-1.i1.entry-1-a.7")?.counter, 7);
    for (
        const text of [
            "",
            "t1.painel-1.i1.nonce",
            "t2.painel-1.i1.e.0",
            "t2.painel-1.i1.e.-1",
            "t2.a.b.c.1.2",
        ]
    ) {
        t.is(parseTicket(text), undefined);
    }
});
