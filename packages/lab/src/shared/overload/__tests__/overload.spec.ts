import test from "ava";
import { BASELINE_VARIANTS, MAIN_VARIANT } from "../../load/variants.ts";
import { runOverload } from "../overloadExperiment.ts";

test("trace 13: service recovers from a load of three times the capacity", async t => {
    const result = await runOverload({ seed: 31, size: "today", variant: MAIN_VARIANT, overloadMs: 30_000 });
    t.like(result, {
        lostRequests: 0,
        cutOffRequests: 0,
        wrongAnswers: 0,
        doubleRuns: 0,
        falseNotRun: 0,
        overCapacityStarts: 0,
        overColdLimitStarts: 0,
    });
    t.true(result.goodputRatioDuringOverload >= 0.9, `goodput ratio ${result.goodputRatioDuringOverload}`);
    t.true(result.recoveryMs <= 5_000, `recovered after ${result.recoveryMs} ms`);
    t.true(result.retryAmplification <= 1.1, `retry amplification ${result.retryAmplification}`);
});

test("without admission control the oracle reports starts above the limits", async t => {
    const variant = BASELINE_VARIANTS.find(({ hasAdmissionControl }) => !hasAdmissionControl);
    t.truthy(variant);
    const result = await runOverload({
        seed: 31,
        size: "today",
        variant: variant ?? MAIN_VARIANT,
        overloadMs: 5_000,
    });
    t.true(result.overCapacityStarts > 0);
});
