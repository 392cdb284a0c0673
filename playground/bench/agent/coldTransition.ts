/**
 * Measures how soon an agent under full load notices that its engine has turned cold without reporting it:
 * the delay until its first event that says so, and the requests started above the cold limit before and
 * after that event.
 */

import { startAgentHarness } from "./agentHarness.ts";

const SEEDS = 20;
const CALLERS = 24;
const COLD_LIMIT = 2;
const WARM_LIMIT = 16;
const WARM_UP_MS = 30_000;
const DETECTION_EVENTS = new Set(["agent.warmth.suspended", "agent.warmth.fell"]);

const percentile = (values: readonly number[], fraction: number): number =>
    [...values].sort((left, right) => left - right)[Math.ceil(values.length * fraction) - 1] ?? Number.NaN;

const detectionDelaysMs: number[] = [];
let excessStartsBeforeDetection = 0;
let excessStartsAfterDetection = 0;
let runningAtTransition = 0;
for (let seed = 1; seed <= SEEDS; seed++) {
    const { clock, engine, eventRecords, addCaller } = await startAgentHarness({
        seed,
        coldLimit: COLD_LIMIT,
        warmLimit: WARM_LIMIT,
    });
    for (let index = 0; index < CALLERS; index++) {
        addCaller({ account: `a${index % 4}`, weight: 1 });
    }
    await clock.advance(WARM_UP_MS + seed * 37);
    const transitionMs = clock.nowMs();
    const startCount = engine.starts.length;
    const eventCount = eventRecords.length;
    runningAtTransition += engine.running;
    engine.turnCold();
    await clock.advance(10_000);
    const detection = eventRecords.slice(eventCount).find(({ definition }) =>
        DETECTION_EVENTS.has(definition.name)
    );
    const detectedMs = detection
        ? detection.time.wallMs - (clock.wallMs() - clock.nowMs())
        : Number.POSITIVE_INFINITY;
    detectionDelaysMs.push(detectedMs - transitionMs);
    const excessStarts = engine.starts.slice(startCount).filter(start =>
        start.isCold && start.running > COLD_LIMIT
    );
    excessStartsBeforeDetection += excessStarts.filter(({ atMs }) => atMs <= detectedMs).length;
    excessStartsAfterDetection += excessStarts.filter(({ atMs }) => atMs > detectedMs).length;
}
console.log(JSON.stringify({
    seeds: SEEDS,
    meanRunningAtTurn: runningAtTransition / SEEDS,
    signP50Ms: percentile(detectionDelaysMs, 0.5),
    signMaxMs: percentile(detectionDelaysMs, 1),
    overColdStartsBeforeSign: excessStartsBeforeDetection,
    overColdStartsAfterSign: excessStartsAfterDetection,
}));
