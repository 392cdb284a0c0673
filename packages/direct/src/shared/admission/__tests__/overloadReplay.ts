/** Replay of the streams of a fleet whose callers compete for too few slots, without a network. */

import { branded, type ClientAccountId, createRandomSource, sleep } from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import { AdmissionQueue, type QueuedCall } from "../../admissionQueue.ts";

/** Time for which a stream holds its slot, in milliseconds; its size varies by a factor of up to 3. */
const MEAN_RUN_MS = 1_700;
/** Time from the start to the first event, in milliseconds: one to two passes and the reading of the prompt. */
const FIRST_EVENT_MS = { least: 60, most: 210 };
const STALL_LIMIT_MS = 2_000;
const TIMEOUT_MS = 8_000;
const ACCOUNTS = 12;
/** Fleets of more instances than this have 600 servers instead of 72, and demand in proportion. */
const LARGE_FLEET = 100;
const LARGE_FLEET_SCALE = 600 / 72;
/** Instances that are replayed. Their parts are equal and fixed, so that they do not depend on the others. */
const MAX_REPLAYED = 72;

/** A kind of stream with its demand in the whole fleet. */
export interface ReplayedKind {
    readonly name: string;
    readonly priority: number;
    readonly targetMs: number;
    readonly perS: number;
    /** Value of an answer that is in time, and of a late one. */
    readonly worth: readonly [number, number];
}

/** Kinds of a deployment whose streams differ in urgency. */
export const URGENCY_KINDS: readonly ReplayedKind[] = [
    { name: "fault-explain", priority: 0, targetMs: 403, perS: 85.5, worth: [3.1, 0.3] },
    { name: "alert-digest", priority: 1, targetMs: 403, perS: 37.6, worth: [1.6, 0.4] },
    { name: "season-report", priority: 2, targetMs: 1_003, perS: 64.9, worth: [0.81, 0.31] },
];

/** More requests of one kind for a while. */
export interface ReplayedBurst {
    readonly kind: string;
    readonly factor: number;
    readonly fromMs: number;
    readonly toMs: number;
}

/** Load and fleet of a replay. */
export interface OverloadReplay {
    readonly instances: number;
    /** Demand on a calm day divided by what the slots can serve. */
    readonly load: number;
    readonly bursts?: readonly ReplayedBurst[];
    readonly hasUrgency: boolean;
    readonly seed?: number;
    /** Client accounts by their part of the requests; the first sends as many as all others when true. */
    readonly hasLargeAccount?: boolean;
    readonly durationMs?: number;
}

/** What became of the requests of a kind. */
export interface ReplayedCounts {
    received: number;
    inTime: number;
    late: number;
    refused: number;
}

const emptyCounts = (): ReplayedCounts => ({ received: 0, inTime: 0, late: 0, refused: 0 });

/**
 * Replays the requests of a fleet whose instances have equal parts of the slots and of the demand. A refused caller
 * retries once.
 *
 * @returns counts by kind and by account, and the worth that was reached divided by the most possible one
 */
export const replayOverload = async (replay: OverloadReplay) => {
    const {
        bursts = [],
        durationMs = 16_000,
        hasLargeAccount = false,
        hasUrgency,
        instances,
        load,
        seed = 1,
    } = replay;
    const random = createRandomSource(seed);
    const clock = new VirtualClock();
    const scale = instances > LARGE_FLEET ? LARGE_FLEET_SCALE : 1;
    const calmPerS = scale * URGENCY_KINDS.reduce((sum, { perS }) => sum + perS, 0);
    const replayed = Math.min(instances, MAX_REPLAYED);
    const slots = calmPerS / load * MEAN_RUN_MS / 1_000;
    const queues = Array.from({ length: replayed }, (_, index) => {
        const limit = Math.max(
            1,
            Math.floor((index + 1) * slots / instances) - Math.floor(index * slots / instances),
        );
        const queueRandom = createRandomSource(seed + index);
        return new AdmissionQueue({
            clock,
            random: queueRandom,
            limit: () => limit,
            hasUrgency: () => hasUrgency,
        });
    });
    const byKind = new Map(URGENCY_KINDS.map(({ name }) => [name, emptyCounts()]));
    const byAccount = new Map<string, ReplayedCounts>();
    const worth = { reached: 0, possible: 0 };

    const serve = async (kind: ReplayedKind): Promise<void> => {
        const firstMs = clock.nowMs();
        const queue = queues[Math.floor(random.nextFloat() * replayed)] as AdmissionQueue;
        const isLarge = hasLargeAccount && random.nextFloat() < 0.5;
        const account = branded<ClientAccountId>(
            isLarge ? "0" : String(Math.floor(random.nextFloat() * ACCOUNTS)),
        );
        const counts = [byKind.get(kind.name), byAccount.get(account) ?? emptyCounts()] as ReplayedCounts[];
        byAccount.set(account, counts[1] as ReplayedCounts);
        const count = (key: keyof ReplayedCounts): void => counts.forEach(entry => entry[key]++);
        count("received");
        worth.possible += kind.worth[0];
        const runMs = MEAN_RUN_MS * (0.5 + random.nextFloat());
        const firstEventMs = FIRST_EVENT_MS.least
            + random.nextFloat() * (FIRST_EVENT_MS.most - FIRST_EVENT_MS.least);
        for (const isRetry of [false, true]) {
            const receivedMs = clock.nowMs();
            const call: QueuedCall = {
                receivedMs,
                targetStartMs: receivedMs + (isRetry ? 0 : kind.targetMs / 2),
                latestStartMs: receivedMs + Math.max(STALL_LIMIT_MS, 4 * kind.targetMs) - kind.targetMs,
                deadlineMs: firstMs + TIMEOUT_MS,
                priority: kind.priority,
                account,
            };
            if (await queue.acquire(call, new AbortController().signal) === "admitted") {
                const isInTime = clock.nowMs() + firstEventMs - firstMs <= kind.targetMs;
                count(isInTime ? "inTime" : "late");
                worth.reached += kind.worth[isInTime ? 0 : 1];
                await sleep(clock, runMs);
                queue.release(runMs, call);
                return;
            }
            if (!isRetry) {
                await sleep(clock, queue.retryAfterMs(firstMs + TIMEOUT_MS - clock.nowMs()));
            }
        }
        count("refused");
    };

    while (clock.nowMs() < durationMs) {
        const rates = URGENCY_KINDS.map(({ name, perS }) =>
            scale * perS
            * bursts.reduce((factor, burst) =>
                burst.kind === name && clock.nowMs() >= burst.fromMs && clock.nowMs() < burst.toMs
                    ? factor * burst.factor
                    : factor, 1)
        );
        const totalPerS = rates.reduce((sum, perS) => sum + perS, 0);
        await clock.advance(-Math.log(1 - random.nextFloat()) * 1_000 / (totalPerS * replayed / instances));
        let drawn = random.nextFloat() * totalPerS;
        const index = rates.findIndex(perS => (drawn -= perS) < 0);
        void serve(URGENCY_KINDS[index] ?? URGENCY_KINDS[0] as ReplayedKind);
    }
    await clock.advance(3 * TIMEOUT_MS);
    return { byKind, byAccount, worth: worth.reached / worth.possible };
};
