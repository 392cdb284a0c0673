import { createRandomSource, sleep } from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import { AdmissionQueue, type AdmissionResult, pickNext, type QueuedCall } from "../admissionQueue.ts";

const NEVER_ABORTED = new AbortController().signal;
const TARGET_MS = 400;
const USEFUL_START_MS = 1_600;
const DEADLINE_MS = 8_000;

const callAt = (receivedMs: number, changes: Partial<QueuedCall> = {}): QueuedCall => ({
    receivedMs,
    targetStartMs: receivedMs + TARGET_MS / 2,
    latestStartMs: receivedMs + USEFUL_START_MS,
    deadlineMs: receivedMs + DEADLINE_MS,
    priority: 2,
    ...changes,
});

const createQueue = (limit: () => number, seed = 1) => {
    const clock = new VirtualClock();
    return { clock, queue: new AdmissionQueue({ clock, random: createRandomSource(seed), limit }) };
};

test("among requests that can meet their target, the most urgent and then the newest goes first", t => {
    const old = { call: callAt(0) };
    const young = { call: callAt(100) };
    const urgent = { call: callAt(50, { priority: 0 }) };
    t.is(pickNext([old, young], 150), young);
    t.is(pickNext([old, young, urgent], 150), urgent);
});

test("late requests go last, ordered by their latest useful start", t => {
    const late = { call: callAt(0, { priority: 0 }) };
    const later = { call: callAt(10) };
    const fresh = { call: callAt(300, { priority: 9 }) };
    t.is(pickNext([late, fresh, later], 350), fresh);
    t.is(pickNext([later, late], 350), late);
});

test.serial("requests beyond the limit wait, and get slots as they become free", async t => {
    const { clock, queue } = createQueue(() => 2);
    t.is(await queue.acquire(callAt(0), NEVER_ABORTED), "admitted");
    t.is(await queue.acquire(callAt(0), NEVER_ABORTED), "admitted");
    const third = queue.acquire(callAt(0), NEVER_ABORTED);
    await clock.advance(100);
    t.is(queue.waiting, 1);
    queue.release(100);
    t.is(await clock.runUntilSettled(third, 0), "admitted");
    t.is(queue.running, 2);
});

test.serial("a wait ends when its caller disconnects, and when the servers cannot run requests", async t => {
    const { clock, queue } = createQueue(() => 1);
    await queue.acquire(callAt(0), NEVER_ABORTED);
    const disconnect = new AbortController();
    const cancelled = queue.acquire(callAt(0), disconnect.signal);
    disconnect.abort();
    t.is(await clock.runUntilSettled(cancelled, 0), "refused");
    const released = queue.acquire(callAt(0), NEVER_ABORTED);
    queue.cancelWaiters();
    t.is(await clock.runUntilSettled(released, 0), "released");
    t.is(queue.running, 1);
    t.is(queue.waiting, 0);
});

test.serial("a started stream takes a slot at once", async t => {
    const { queue } = createQueue(() => 1);
    await queue.acquire(callAt(0), NEVER_ABORTED);
    queue.acquireAtOnce();
    t.is(queue.running, 2);
    queue.release(undefined);
    queue.release(undefined);
    t.is(await queue.acquire(callAt(0), NEVER_ABORTED), "admitted");
});

test.serial("few late requests wait, none past its latest useful start; the others are refused", async t => {
    const { clock, queue } = createQueue(() => 10);
    for (let running = 0; running < 10; running++) {
        await queue.acquire(callAt(0), NEVER_ABORTED);
    }
    const results: AdmissionResult[] = [];
    for (let waiting = 0; waiting < 6; waiting++) {
        void queue.acquire(callAt(0), NEVER_ABORTED).then(result => results.push(result));
    }
    await clock.advance(TARGET_MS / 2 + 1);
    t.is(results.length, 5);
    t.true(results.every(result => result === "refused"));
    await clock.advance(USEFUL_START_MS);
    t.is(results.length, 6);
    t.is(queue.waiting, 0);
    t.is(queue.running, 10);
});

test("retry delays have jitter, and are at most a third of the remaining time", t => {
    const { queue } = createQueue(() => 1);
    const delaysMs = Array.from({ length: 50 }, () => queue.retryAfterMs(6_000));
    t.true(delaysMs.every(delayMs => delayMs >= 1_000 && delayMs <= 2_000));
    t.true(new Set(delaysMs.map(Math.round)).size > 30);
});

test.serial("a slot freed right after a shortage is kept for the next request that is not late", async t => {
    const { clock, queue } = createQueue(() => 10);
    for (let running = 0; running < 10; running++) {
        await queue.acquire(callAt(0), NEVER_ABORTED);
    }
    // The newer of the two waiting requests gets the slot; the other one is late by then.
    const older = queue.acquire(callAt(0), NEVER_ABORTED);
    await clock.advance(150);
    const newer = queue.acquire(callAt(150), NEVER_ABORTED);
    queue.release(150);
    t.is(await clock.runUntilSettled(newer, 0), "admitted");
    await clock.advance(100);
    queue.release(250);
    await clock.advance(0);
    t.is(queue.running, 9);
    t.is(queue.waiting, 1);
    t.is(await queue.acquire(callAt(250), NEVER_ABORTED), "admitted");
    await clock.advance(1_000);
    queue.release(1_250);
    t.is(await clock.runUntilSettled(older, 0), "admitted");
});

test.serial("a late request gets a free slot once the shortage is over, without another event", async t => {
    const { clock, queue } = createQueue(() => 1);
    await queue.acquire(callAt(0), NEVER_ABORTED);
    const late = queue.acquire(callAt(0), NEVER_ABORTED);
    await clock.advance(TARGET_MS);
    queue.release(TARGET_MS);
    await clock.advance(0);
    t.is(queue.running, 0);
    t.is(await clock.runUntilSettled(late, 700), "admitted");
});

/** Load of one instance: slots, time for which a stream holds one, streams per second, and total duration. */
interface Burst {
    readonly slots: number;
    readonly runMs: number;
    readonly requestsPerS: number;
    readonly durationMs: number;
}

/**
 * Simulates a burst. A stream is on time if it gets its slot within half of its target time to the first
 * event.
 */
const simulateBurst = async ({ durationMs, requestsPerS, runMs, slots }: Burst, isFifo: boolean) => {
    const random = createRandomSource(7);
    const { clock, queue } = createQueue(() => slots);
    const counts = { received: 0, onTime: 0, late: 0, refused: 0, longestWaitMs: 0 };
    const freeMs = new Array<number>(slots).fill(0);
    const serve = async (): Promise<void> => {
        counts.received++;
        const call = callAt(clock.nowMs());
        if (isFifo) {
            const slot = freeMs.indexOf(Math.min(...freeMs));
            const startMs = Math.max(clock.nowMs(), freeMs[slot] ?? 0);
            if (startMs > call.latestStartMs) {
                counts.refused++;
                return;
            }
            freeMs[slot] = startMs + runMs;
            counts[startMs < call.targetStartMs ? "onTime" : "late"]++;
            return;
        }
        const result = await queue.acquire(call, NEVER_ABORTED);
        const waitedMs = clock.nowMs() - call.receivedMs;
        counts.longestWaitMs = Math.max(counts.longestWaitMs, waitedMs);
        if (result !== "admitted") {
            counts.refused++;
            return;
        }
        counts[waitedMs < TARGET_MS / 2 ? "onTime" : "late"]++;
        await sleep(clock, runMs);
        queue.release(runMs);
    };
    while (clock.nowMs() < durationMs) {
        void serve();
        await clock.advance(2_000 / requestsPerS * random.nextFloat());
    }
    await clock.advance(2 * DEADLINE_MS);
    return counts;
};

// One of seven instances that share 96 slots: streams of 1.7 s, twice the usual traffic for ten seconds.
const BURST: Burst = { slots: 14, runMs: 1_700, requestsPerS: 13, durationMs: 10_000 };

test.serial("in a burst most slots go to timely requests; in arrival order nearly all are late", async t => {
    const fifo = await simulateBurst(BURST, true);
    const newestFirst = await simulateBurst(BURST, false);
    const sustainable = BURST.slots / BURST.runMs * BURST.durationMs;
    t.true(newestFirst.onTime >= 0.8 * sustainable);
    t.true(newestFirst.onTime >= 1.5 * fifo.onTime);
    t.is(newestFirst.onTime + newestFirst.late + newestFirst.refused, newestFirst.received);
    t.true(newestFirst.longestWaitMs <= USEFUL_START_MS + 1);
});

test.serial("without a burst no request is late or refused", async t => {
    const lightLoad = await simulateBurst({ ...BURST, requestsPerS: 5 }, false);
    t.is(lightLoad.refused, 0);
    t.is(lightLoad.late, 0);
});
