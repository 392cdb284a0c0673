import test from "ava";
import type { Drift } from "../../standIns/popularityModel.ts";
import { type MapsReport, runMapsExperiment } from "../mapsExperiment.ts";

const SIZE = { ranks: 8, experts: 32, layers: 4 };

/** Runs a small group. Processor time is fixed at 0, because it differs from run to run. */
const run = (seed: number, drift: Drift): Promise<MapsReport> =>
    runMapsExperiment({ ...SIZE, seed, drift, processorMs: () => 0 });

const SEEDS = [1, 2];

for (const drift of ["day", "burst", "flip", "calm"] as const) {
    test(`${drift}: at most the skew of neverMove, few bytes moved, no mixed step`, async t => {
        for (const seed of SEEDS) {
            const { policies, mixedMapSteps, switches } = await run(seed, drift);
            const product = policies["magnolialock"]!;
            t.true(product.skewMean <= policies["neverMove"]!.skewMean, `seed ${seed}: ${product.skewMean}`);
            t.true(product.bytesMoved <= 0.25 * policies["alwaysMove"]!.bytesMoved, `seed ${seed}`);
            t.is(mixedMapSteps, 0);
            t.true(switches > 0);
        }
    });
}

const FLIPS = 200;

test("trace 12: the policy does not follow two coordinated hot experts that flip", async t => {
    const { policies, switches } = await runMapsExperiment({
        ranks: 32,
        experts: 128,
        layers: 4,
        seed: 1,
        drift: "flip",
        processorMs: () => 0,
    });
    const product = policies["magnolialock"]!;
    const greedy = policies["greedyReplication"]!;
    t.true(switches <= 0.1 * FLIPS, `${switches} switches`);
    // A policy without cost and hysteresis repeats the same moves at every flip.
    t.true(greedy.stepsStalled > 0.1 * FLIPS);
    t.true(product.bytesMoved <= 0.5 * greedy.bytesMoved, `${product.bytesMoved} bytes`);
    t.true(product.tokensPerSecondRatio > greedy.tokensPerSecondRatio);
});

/** Run of a larger group, shared by the two tests below. */
const runLargeDay = (() => {
    let report: Promise<MapsReport> | undefined;
    return () =>
        report ??= runMapsExperiment({
            ranks: 32,
            experts: 128,
            layers: 8,
            seed: 1,
            drift: "day",
            processorMs: () => 0,
        });
})();

test("day: skew at most 1.10, and at most 1.05 times that of the lower bound", async t => {
    const { policies } = await runLargeDay();
    const { skewMean } = policies["magnolialock"]!;
    t.true(skewMean <= 1.1 && skewMean <= 1.05 * policies["lowerBound"]!.skewMean, `${skewMean}`);
});

// Known failure, see KNOWN-RED.txt.
test.failing("day: more tokens per second than every baseline", async t => {
    const { policies } = await runLargeDay();
    const { magnolialock, lowerBound: _bound, ...baselines } = policies;
    for (const [name, { tokensPerSecondRatio }] of Object.entries(baselines)) {
        t.true(magnolialock!.tokensPerSecondRatio > tokensPerSecondRatio, name);
    }
});

test("the same seed gives the same report", async t => {
    t.deepEqual(await run(4, "burst"), await run(4, "burst"));
});
