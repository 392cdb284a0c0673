/**
 * Measures an unseen cold turn under full load: time to the first sign, and starts above the cold limit.
 */

import { startRig } from "./agentRig.ts";

const SEEDS = 20;
const CALLERS = 24;
const COLD = 2;
const WARM = 16;
const WARM_UP_MS = 30_000;
const SIGNS = new Set(["agent.warmth.suspended", "agent.warmth.fell"]);

const percentile = (values: readonly number[], share: number): number =>
    [...values].sort((left, right) => left - right)[Math.ceil(values.length * share) - 1] ?? Number.NaN;

const signMs: number[] = [];
let startsBeforeSign = 0;
let startsAfterSign = 0;
let fullAtTurn = 0;
for (let seed = 1; seed <= SEEDS; seed++) {
    const { clock, engine, logged, addCaller } = await startRig({ seed, cold: COLD, warm: WARM });
    for (let index = 0; index < CALLERS; index++) {
        addCaller({ account: `a${index % 4}`, weight: 1 });
    }
    await clock.advance(WARM_UP_MS + seed * 37);
    const turnedMs = clock.nowMs();
    const startCount = engine.starts.length;
    const eventCount = logged.length;
    fullAtTurn += engine.running;
    engine.turnCold();
    await clock.advance(10_000);
    const sign = logged.slice(eventCount).find(({ definition }) => SIGNS.has(definition.name));
    const seenMs = sign ? sign.time.wallMs - (clock.wallMs() - clock.nowMs()) : Number.POSITIVE_INFINITY;
    signMs.push(seenMs - turnedMs);
    const over = engine.starts.slice(startCount).filter(start => start.isCold && start.running > COLD);
    startsBeforeSign += over.filter(({ atMs }) => atMs <= seenMs).length;
    startsAfterSign += over.filter(({ atMs }) => atMs > seenMs).length;
}
console.log(JSON.stringify({
    seeds: SEEDS,
    meanRunningAtTurn: fullAtTurn / SEEDS,
    signP50Ms: percentile(signMs, 0.5),
    signMaxMs: percentile(signMs, 1),
    overColdStartsBeforeSign: startsBeforeSign,
    overColdStartsAfterSign: startsAfterSign,
}));
