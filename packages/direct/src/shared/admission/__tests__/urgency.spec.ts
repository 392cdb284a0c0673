import { branded, createRandomSource, type ServiceName } from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import { route } from "../../__tests__/directFixture.ts";
import { AdmissionQueue, type AdmissionResult } from "../../admissionQueue.ts";
import { differsInPriority, GUARANTEED_SHARE, type UrgencyCall, UrgencyPolicy } from "../urgency.ts";
import { type OverloadReplay, type ReplayedCounts, replayOverload, URGENCY_KINDS } from "./overloadReplay.ts";

const NEVER_ABORTED = new AbortController().signal;
const DRAFTS = branded<ServiceName>("drafts");
const ORDERS = branded<ServiceName>("orders");

const callOf = (changes: Partial<UrgencyCall> = {}): UrgencyCall => {
    const { receivedMs = 0 } = changes;
    return {
        receivedMs,
        targetStartMs: receivedMs + 200,
        latestStartMs: receivedMs + 1_600,
        priority: 0,
        ...changes,
    };
};

/** A policy that has seen one request of each priority every `intervalMs`, all of them admitted. */
const policyWithDemand = (intervalMs: Readonly<Record<number, number>>, untilMs: number): UrgencyPolicy => {
    const policy = new UrgencyPolicy();
    for (let nowMs = 0; nowMs < untilMs; nowMs++) {
        for (const [priority, everyMs] of Object.entries(intervalMs)) {
            if (nowMs % everyMs === 0) {
                const call = callOf({ receivedMs: nowMs, priority: Number(priority) });
                policy.recordArrival(call, nowMs);
                policy.recordAdmission(call, nowMs);
                policy.recordEnd(call, 1_000);
            }
        }
    }
    return policy;
};

test("only routes of the same service that differ in priority count", t => {
    const draft = (priority: number, service = DRAFTS, weight = 1) =>
        route(`draft-${priority}`, { priority, targets: [{ service, weight }] });
    t.true(differsInPriority([draft(0), draft(1)], DRAFTS));
    t.false(differsInPriority([draft(1), draft(1), draft(2, ORDERS)], DRAFTS));
    t.false(differsInPriority([draft(1), draft(2, DRAFTS, 0)], DRAFTS));
    t.false(differsInPriority([], DRAFTS));
});

test("requests that can be in time go first, by priority, then the one with the least remaining time", t => {
    const policy = new UrgencyPolicy();
    const late = { call: callOf() };
    const older = { call: callOf({ receivedMs: 100, priority: 1 }) };
    const newer = { call: callOf({ receivedMs: 150, priority: 1 }) };
    const urgent = { call: callOf({ receivedMs: 160 }) };
    t.is(policy.pickNext([late, newer, older], 250), older);
    t.is(policy.pickNext([late, newer, older, urgent], 250), urgent);
    t.is(policy.pickNext([late], 250), late);
    t.is(policy.pickNext([], 250), undefined);
});

test("an account that got more than its equal share gives way to the others of its priority", t => {
    const policy = new UrgencyPolicy();
    for (let nowMs = 0; nowMs < 1_000; nowMs += 50) {
        policy.recordAdmission(callOf({ account: "large" }), nowMs);
        if (nowMs % 200 === 0) {
            policy.recordAdmission(callOf({ account: "small" }), nowMs);
        }
    }
    const large = { call: callOf({ receivedMs: 1_000, account: "large" }) };
    const small = { call: callOf({ receivedMs: 1_050, account: "small" }) };
    const lessUrgent = { call: callOf({ receivedMs: 1_000, account: "small", priority: 1 }) };
    // Two of 27 admissions: the less urgent have got their guaranteed share.
    policy.recordAdmission(lessUrgent.call, 1_000);
    policy.recordAdmission(lessUrgent.call, 1_000);
    t.is(policy.pickNext([large, small, lessUrgent], 1_100), small);
    t.is(policy.pickNext([large, lessUrgent], 1_100), large);
});

test("the reserve follows the measured demand, and is lent when that ends", t => {
    const use = { limit: 16, running: 16, meanRunMs: 1_700 };
    const policy = policyWithDemand({ 0: 300, 2: 300 }, 6_000);
    const reserve = policy.reserveFor(2, use, 6_000);
    t.true(reserve >= 1 && reserve <= 4, `${reserve} slots`);
    t.is(policy.reserveFor(0, use, 6_000), 0);
    t.is(policy.reserveFor(2, use, 26_000), 0);
    // Where slots become free often, urgent requests get one in time without a reserve.
    t.is(policy.reserveFor(2, { limit: 400, running: 400, meanRunMs: 1_700 }, 6_000), 0);
});

test("the reserve leaves a slot to the less urgent, and none is kept while they lack their guaranteed share", t => {
    const demanded = policyWithDemand({ 0: 10, 2: 100 }, 6_000);
    t.is(demanded.reserveFor(2, { limit: 1, running: 1, meanRunMs: 1_700 }, 6_000), 0);
    const starved = policyWithDemand({ 0: 10 }, 6_000);
    const waiting = callOf({ receivedMs: 6_000, priority: 2 });
    starved.recordArrival(waiting, 6_000);
    t.is(starved.reserveFor(2, { limit: 16, running: 16, meanRunMs: 1_700 }, 6_000), 0);
    const urgent = callOf({ receivedMs: 6_000 });
    t.true(starved.hasPrecedence(waiting, urgent, 6_001));
    t.false(starved.hasPrecedence(urgent, waiting, 6_001));
});

test("a less urgent request is refused at once when too many are before it; the most urgent never is", t => {
    const use = { limit: 4, running: 4, meanRunMs: 1_700 };
    const policy = policyWithDemand({ 0: 400, 2: 400 }, 6_000);
    const urgentWaiters = Array.from({ length: 8 }, () => ({ call: callOf({ receivedMs: 6_000 }) }));
    const lessUrgent = callOf({ receivedMs: 6_000, priority: 2 });
    t.true(policy.isHopeless(lessUrgent, urgentWaiters, use, 6_000));
    t.false(policy.isHopeless(lessUrgent, [], use, 6_000));
    t.false(policy.isHopeless(callOf({ receivedMs: 6_000 }), urgentWaiters, use, 6_000));
});

test.serial("a request that found the free slots reserved gets one when the urgent demand ends", async t => {
    const clock = new VirtualClock();
    const limit = (): number => 8;
    const queue = new AdmissionQueue({ clock, random: createRandomSource(1), limit, hasUrgency: () => true });
    const call = (priority: number) => ({
        ...callOf({ receivedMs: clock.nowMs(), priority, targetStartMs: clock.nowMs() + 5_000 }),
        account: undefined,
        latestStartMs: clock.nowMs() + 8_000,
        deadlineMs: clock.nowMs() + 20_000,
    });
    // Shows the urgent demand that slots are kept for.
    for (let index = 0; index < 30; index++) {
        const urgent = call(0);
        t.is(await queue.acquire(urgent, NEVER_ABORTED), "admitted");
        await clock.advance(100);
        queue.release(1_000, urgent);
    }
    const results: AdmissionResult[] = [];
    for (let index = 0; index < 8; index++) {
        void queue.acquire(call(2), NEVER_ABORTED).then(result => results.push(result));
    }
    await clock.advance(0);
    t.true(results.length > 0 && results.length < 8, `${results.length} admitted`);
    await clock.advance(4_900);
    t.deepEqual(results, Array.from({ length: 8 }, () => "admitted"));
});

/** Loads that the design names: constant overload, and bursts of single kinds. */
const LOADS: Readonly<Record<string, Omit<OverloadReplay, "instances" | "hasUrgency">>> = {
    "constant overload": { load: 1.3 },
    "a burst of the least urgent kind": {
        load: 0.9,
        bursts: [{ kind: "season-report", factor: 2.5, fromMs: 4_000, toMs: 9_000 }],
    },
    "a burst of the most urgent kind": {
        load: 0.9,
        bursts: [{ kind: "fault-explain", factor: 1.7, fromMs: 4_000, toMs: 7_500 }],
    },
};

const servedShare = ({ inTime, late, received }: ReplayedCounts): number => (inTime + late) / received;

for (const [name, load] of Object.entries(LOADS)) {
    for (const instances of [7, 34, 69, 400]) {
        test.serial(`${instances} instances reach more in ${name} than by priority alone`, async t => {
            const replay = { ...load, instances, durationMs: 12_000 };
            const before = await replayOverload({ ...replay, hasUrgency: false });
            const after = await replayOverload({ ...replay, hasUrgency: true });
            const [urgent, middle, least] = URGENCY_KINDS.map(kind =>
                after.byKind.get(kind.name) as ReplayedCounts
            );
            const urgentBefore = before.byKind.get("fault-explain") as ReplayedCounts;
            t.log(`worth ${before.worth.toFixed(3)} before, ${after.worth.toFixed(3)} after`);
            for (const { name: kind } of URGENCY_KINDS) {
                const [left, right] = [before, after].map(result =>
                    result.byKind.get(kind) as ReplayedCounts
                );
                t.log(kind, JSON.stringify(left), JSON.stringify(right));
            }
            t.true(after.worth > before.worth);
            t.true((urgent?.inTime ?? 0) > urgentBefore.inTime);
            // Chance decides between kinds that nearly all requests of are served.
            const served = [urgent, middle, least].map(counts => counts ? servedShare(counts) : 0);
            t.true((served[0] ?? 0) >= (served[1] ?? 0) - 0.02, served.join(" "));
            t.true((served[1] ?? 0) >= (served[2] ?? 0) - 0.02, served.join(" "));
            t.true((served[2] ?? 0) >= GUARANTEED_SHARE, served.join(" "));
        });
    }
}

test.serial("an account that sends half of the requests leaves the others their part", async t => {
    const result = await replayOverload({
        load: 1.5,
        instances: 34,
        hasUrgency: true,
        hasLargeAccount: true,
    });
    const all = [...result.byKind.values()].reduce((sum, { received }) => sum + received, 0);
    const served = [...result.byKind.values()].reduce((sum, { inTime, late }) => sum + inTime + late, 0);
    for (const [account, counts] of result.byAccount) {
        t.true(servedShare(counts) >= served / all / 4, `${account}: ${JSON.stringify(counts)}`);
    }
});
