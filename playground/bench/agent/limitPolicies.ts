/**
 * Compares ways to adapt a concurrency limit to measured latency: fixed, AIMD and gradient.
 */

import { LatencyLimit } from "@magnolialock/agent";
import { createRandomSource } from "@magnolialock/kernel";
import { EngineModel } from "@magnolialock/lab";
import { VirtualClock } from "@magnolialock/test-support";

const WARM_LIMIT = 16;
const COLD_LIMIT = 2;
const WARM_TIME_MS = 50;
const CALLERS = 32;
const DURATION_MS = 120_000;

interface Policy {
    limit(): number;
    note(timeMs: number, running: number): void;
}

const fixed = (): Policy => ({ limit: () => WARM_LIMIT, note: () => {} });

const aimd = (clock: VirtualClock): Policy => {
    const limit = new LatencyLimit({ clock, warmTimeMs: () => WARM_TIME_MS, floor: () => COLD_LIMIT });
    return {
        limit: () => limit.cappedAt(WARM_LIMIT),
        note: (timeMs, running) => limit.record(timeMs, running),
    };
};

/** Limit follows the ratio of the best to the present time, with head room of its square root. */
const gradient = (): Policy => {
    let limit = WARM_LIMIT;
    let bestMs = Number.POSITIVE_INFINITY;
    let smoothedMs: number | undefined;
    return {
        limit: () => Math.max(COLD_LIMIT, Math.min(WARM_LIMIT, Math.floor(limit))),
        note: timeMs => {
            bestMs = Math.min(bestMs, timeMs);
            smoothedMs = smoothedMs === undefined ? timeMs : smoothedMs + 0.2 * (timeMs - smoothedMs);
            const target = limit * Math.max(0.5, Math.min(1, bestMs / smoothedMs)) + Math.sqrt(limit);
            limit = Math.min(WARM_LIMIT, limit + 0.05 * (target - limit));
        },
    };
};

const run = async (stepPerSequenceMs: number, create: (clock: VirtualClock) => Policy) => {
    const clock = new VirtualClock();
    const random = createRandomSource(1);
    const engine = new EngineModel({
        clock,
        random,
        coldLimit: COLD_LIMIT,
        warmLimit: WARM_LIMIT,
        stepPerSequenceMs,
    });
    const policy = create(clock);
    let tokens = 0;
    let timeSumMs = 0;
    let slowTokens = 0;
    let waiting = CALLERS;
    let nextRequest = 0;
    const startWaiting = (): void => {
        while (waiting > 0 && engine.running < policy.limit()) {
            waiting--;
            let lastMs: number | undefined;
            engine.submit({
                requestId: "r",
                prompt: `prompt ${nextRequest++}`,
                totalTokens: random.nextInt(20, 80),
                resumeFromToken: 0,
            }, {
                onTokens: () => {
                    const nowMs = clock.nowMs();
                    if (lastMs !== undefined) {
                        const timeMs = nowMs - lastMs;
                        tokens++;
                        timeSumMs += timeMs;
                        slowTokens += timeMs > WARM_TIME_MS ? 1 : 0;
                        policy.note(timeMs, engine.running);
                    }
                    lastMs = nowMs;
                },
                onEnd: () => {
                    waiting++;
                    clock.setTimer(0, startWaiting);
                },
                onBroken: () => {},
            });
        }
    };
    startWaiting();
    await clock.advance(DURATION_MS);
    return {
        tokensPerS: Math.round(tokens / DURATION_MS * 1_000),
        meanTokenMs: Number((timeSumMs / tokens).toFixed(1)),
        slowShare: Number((slowTokens / tokens).toFixed(3)),
    };
};

for (const stepPerSequenceMs of [0.6, 3]) {
    for (const [name, create] of [["fixed", fixed], ["AIMD", aimd], ["gradient", gradient]] as const) {
        console.log(JSON.stringify({ stepPerSequenceMs, name, ...await run(stepPerSequenceMs, create) }));
    }
}
