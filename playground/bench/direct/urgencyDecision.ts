/**
 * Measures the time of one admission decision with 200 waiting requests of 40 accounts. It must stay below 20 µs.
 *
 * Usage: `npx tsx playground/bench/direct/urgencyDecision.ts`
 */

import { UrgencyPolicy } from "../../../packages/direct/src/shared/admission/urgency.ts";

const WAITING = 200;
const ACCOUNTS = 40;
const ROUNDS = 20_000;
const SLOTS = 554;
const RUN_MS = 1_700;
const LIMIT_US = 20;

const policy = new UrgencyPolicy();
const use = { limit: SLOTS, running: SLOTS, meanRunMs: RUN_MS };
let nowMs = 1_000;
const waiters = Array.from({ length: WAITING }, (_, index) => ({
    call: {
        receivedMs: nowMs,
        targetStartMs: 1e9 + index,
        latestStartMs: 2e9,
        priority: index % 3,
        account: `account-${index % ACCOUNTS}`,
    },
}));
for (const { call } of waiters) {
    policy.recordArrival(call, nowMs);
    policy.recordAdmission(call, nowMs);
}

/** Returns the median time of a decision, in microseconds. */
const measure = (decide: () => void): number => {
    const timesUs = Array.from({ length: ROUNDS }, () => {
        nowMs += 1;
        const startNs = process.hrtime.bigint();
        decide();
        return Number(process.hrtime.bigint() - startNs) / 1_000;
    });
    return timesUs.sort((left, right) => left - right)[ROUNDS / 2] as number;
};

const medians = {
    admission: measure(() => {
        const next = policy.pickNext(waiters, nowMs);
        if (next) {
            policy.reserveFor(next.call.priority, use, nowMs);
            policy.recordAdmission(next.call, nowMs);
            policy.recordEnd(next.call, RUN_MS);
        }
    }),
    refusal: measure(() => policy.isHopeless((waiters[2] as typeof waiters[0]).call, waiters, use, nowMs)),
};
for (const [name, medianUs] of Object.entries(medians)) {
    process.stdout.write(`${name}: median ${medianUs.toFixed(1)} µs, limit ${LIMIT_US} µs\n`);
}
process.exitCode = Object.values(medians).some(medianUs => medianUs > LIMIT_US) ? 1 : 0;
