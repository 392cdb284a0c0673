import { branded, type ClientAccountId } from "@magnolialock/kernel";
import type { AccountRule } from "@magnolialock/rules";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import { AccountLimiter } from "../accountLimiter.ts";
import { MembershipEntryCount } from "../membershipEntryCount.ts";
import { PeerHealth } from "../peerHealth.ts";
import { RetryBudget } from "../retryBudget.ts";
import { parseTicketChain } from "../ticketChain.ts";

const account: AccountRule = {
    name: branded<ClientAccountId>("loja-1"),
    keyHash: "",
    ratePerS: 60,
    burst: 60,
    weight: 1,
};

const admittedIn = async (clock: VirtualClock, limiter: AccountLimiter, seconds: number): Promise<number> => {
    let admitted = 0;
    for (let step = 0; step < seconds * 200; step++) {
        await clock.advance(5);
        admitted += limiter.admit(account).kind === "admitted" ? 1 : 0;
    }
    return admitted;
};

test("an entry admits its share of an account's rate, even when the number of entries changes", async t => {
    const clock = new VirtualClock();
    const entryCount = { liveEntries: 6 };
    const limiter = new AccountLimiter({ clock, entryCount });
    const atSix = await admittedIn(clock, limiter, 10);
    t.true(atSix >= 95 && atSix <= 105, `${atSix} at six entries`);
    entryCount.liveEntries = 3;
    const atThree = await admittedIn(clock, limiter, 10);
    t.true(atThree >= 195 && atThree <= 205, `${atThree} at three entries`);
});

test("entries are counted from the membership, and an entry counts at least itself", t => {
    const membership = { liveCount: (role: string) => role === "entry" ? 6 : 15 };
    t.is(new MembershipEntryCount(membership).liveEntries, 6);
    t.is(new MembershipEntryCount({ liveCount: () => 0 }).liveEntries, 1);
});

test("a new entry does not grant an account a new burst", t => {
    const limiter = new AccountLimiter({ clock: new VirtualClock(), entryCount: { liveEntries: 1 } });
    t.is(limiter.admit(account).kind, "admitted");
    t.deepEqual(limiter.admit(account), { kind: "limited", retryAfterMs: 17 });
});

test("retries are limited to a tenth of the successful requests", t => {
    const budget = new RetryBudget({ clock: new VirtualClock(), capacity: 1 });
    t.true(budget.tryAcquire());
    let retries = 0;
    for (let success = 0; success < 1_000; success++) {
        budget.recordSuccess();
        retries += budget.tryAcquire() ? 1 : 0;
    }
    t.true(retries >= 99 && retries <= 100, `${retries} retries`);
});

test("consecutive failures eject an agent, each time for longer", async t => {
    const clock = new VirtualClock();
    const health = new PeerHealth(clock);
    const failThreeTimes = (): void => [1, 2, 3].forEach(() => health.begin().end("failed"));
    failThreeTimes();
    t.true(health.isEjected);
    await clock.advance(1_001);
    t.false(health.isEjected);
    failThreeTimes();
    await clock.advance(1_001);
    t.true(health.isEjected);
});

test("an attempt that ended without any event keeps its agent suspect", async t => {
    const clock = new VirtualClock();
    const health = new PeerHealth(clock);
    const attempt = health.begin();
    await clock.advance(200);
    attempt.end("ended");
    t.true(health.isSuspect);
    health.recordReceived();
    t.false(health.isSuspect);
});

test("a ticket chain with a malformed ticket is rejected as a whole", t => {
    const first = "t2.painel-1.abc.entry-1-x.1";
    t.is(parseTicketChain(`${first}+t2.painel-2.def.entry-1-x.2`)?.length, 2);
    t.is(parseTicketChain(`${first}+nonsense`), undefined);
});
