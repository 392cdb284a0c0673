/**
 * Compares policies for the concurrency limit of an engine: a fixed limit, and two that adapt to the measured
 * time between tokens (AIMD and gradient).
 */

import { LatencyLimit } from "@magnolialock/agent";
import { createRandomSource } from "@magnolialock/kernel";
import { SimulatedEngine } from "@magnolialock/lab";
import { VirtualClock } from "@magnolialock/test-support";

const WARM_LIMIT = 16;
const COLD_LIMIT = 2;
const WARM_TIME_MS = 50;
const CALLERS = 32;
const DURATION_MS = 120_000;

interface LimitPolicy {
    limit(): number;
    record(timeMs: number, running: number): void;
}

const createFixedPolicy = (): LimitPolicy => ({ limit: () => WARM_LIMIT, record: () => {} });

const createAimdPolicy = (clock: VirtualClock): LimitPolicy => {
    const limit = new LatencyLimit({ clock, warmTimeMs: () => WARM_TIME_MS, floor: () => COLD_LIMIT });
    return {
        limit: () => limit.cappedAt(WARM_LIMIT),
        record: (timeMs, running) => limit.record(timeMs, running),
    };
};

/**
 * Computes a target: the limit times the ratio of the best to the smoothed token time, plus the square root
 * of the limit as headroom. The limit approaches this target gradually.
 */
const createGradientPolicy = (): LimitPolicy => {
    let limit = WARM_LIMIT;
    let bestMs = Number.POSITIVE_INFINITY;
    let smoothedMs: number | undefined;
    return {
        limit: () => Math.max(COLD_LIMIT, Math.min(WARM_LIMIT, Math.floor(limit))),
        record: timeMs => {
            bestMs = Math.min(bestMs, timeMs);
            smoothedMs = smoothedMs === undefined ? timeMs : smoothedMs + 0.2 * (timeMs - smoothedMs);
            const targetLimit = limit * Math.max(0.5, Math.min(1, bestMs / smoothedMs)) + Math.sqrt(limit);
            limit = Math.min(WARM_LIMIT, limit + 0.05 * (targetLimit - limit));
        },
    };
};

const measurePolicy = async (
    stepPerSequenceMs: number,
    createPolicy: (clock: VirtualClock) => LimitPolicy,
) => {
    const clock = new VirtualClock();
    const random = createRandomSource(1);
    const engine = new SimulatedEngine({
        clock,
        random,
        coldLimit: COLD_LIMIT,
        warmLimit: WARM_LIMIT,
        stepPerSequenceMs,
    });
    const policy = createPolicy(clock);
    let tokens = 0;
    let totalTokenTimeMs = 0;
    let slowTokens = 0;
    let waitingCallers = CALLERS;
    let nextRequest = 0;
    const startWaitingCallers = (): void => {
        while (waitingCallers > 0 && engine.running < policy.limit()) {
            waitingCallers--;
            let lastTokenMs: number | undefined;
            engine.submit({
                requestId: "r",
                prompt: `prompt ${nextRequest++}`,
                totalTokens: random.nextInt(20, 80),
                resumeFromToken: 0,
            }, {
                onTokens: () => {
                    const nowMs = clock.nowMs();
                    if (lastTokenMs !== undefined) {
                        const tokenTimeMs = nowMs - lastTokenMs;
                        tokens++;
                        totalTokenTimeMs += tokenTimeMs;
                        slowTokens += tokenTimeMs > WARM_TIME_MS ? 1 : 0;
                        policy.record(tokenTimeMs, engine.running);
                    }
                    lastTokenMs = nowMs;
                },
                onEnd: () => {
                    waitingCallers++;
                    clock.setTimer(0, startWaitingCallers);
                },
                onFailure: () => {},
            });
        }
    };
    startWaitingCallers();
    await clock.advance(DURATION_MS);
    return {
        tokensPerS: Math.round(tokens / DURATION_MS * 1_000),
        meanTokenMs: Number((totalTokenTimeMs / tokens).toFixed(1)),
        slowShare: Number((slowTokens / tokens).toFixed(3)),
    };
};

for (const stepPerSequenceMs of [0.6, 3]) {
    for (
        const [name, createPolicy] of [["fixed", createFixedPolicy], ["AIMD", createAimdPolicy], [
            "gradient",
            createGradientPolicy,
        ]] as const
    ) {
        console.log(
            JSON.stringify({
                stepPerSequenceMs,
                name,
                ...await measurePolicy(stepPerSequenceMs, createPolicy),
            }),
        );
    }
}
