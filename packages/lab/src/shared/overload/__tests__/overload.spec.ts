import test from "ava";
import { BASELINE_VARIANTS, MAIN_VARIANT } from "../../load/variants.ts";
import { runOverload } from "../overloadExperiment.ts";

test("trace 13: three times the load, then normal", async t => {
    const figures = await runOverload({ seed: 31, size: "today", variant: MAIN_VARIANT, overloadMs: 30_000 });
    t.like(figures, {
        lostRequests: 0,
        cutOffRequests: 0,
        wrongAnswers: 0,
        doubleRuns: 0,
        falseNotRun: 0,
        overCapacityStarts: 0,
        overColdLimitStarts: 0,
    });
    t.true(figures.goodputRatioDuringOverload >= 0.9, `goodput ${figures.goodputRatioDuringOverload}`);
    t.true(figures.recoveryMs <= 5_000, `recovered after ${figures.recoveryMs} ms`);
    t.true(figures.retryAmplification <= 1.1, `amplification ${figures.retryAmplification}`);
});

test("without admission control the oracle sees starts above the limits", async t => {
    const variant = BASELINE_VARIANTS.find(({ hasAdmissionControl }) => !hasAdmissionControl);
    t.truthy(variant);
    const figures = await runOverload({
        seed: 31,
        size: "today",
        variant: variant ?? MAIN_VARIANT,
        overloadMs: 5_000,
    });
    t.true(figures.overCapacityStarts > 0);
});
