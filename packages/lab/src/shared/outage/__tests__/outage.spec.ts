import test from "ava";
import { MAIN_VARIANT } from "../../load/variants.ts";
import { runOutage } from "../outageExperiment.ts";

test("trace 10: one data centre out, another one partitioned, both back at the same time", async t => {
    const result = await runOutage({ seed: 21, size: "today", variant: MAIN_VARIANT });
    t.like(result, {
        lostRequests: 0,
        cutOffRequests: 0,
        wrongAnswers: 0,
        doubleRuns: 0,
        falseNotRun: 0,
        overCapacityStarts: 0,
        overColdLimitStarts: 0,
    });
    t.true(
        result.newWorkAfterOutMs <= 3_000,
        `last start ${result.newWorkAfterOutMs} ms after the publication`,
    );
    t.true(
        result.bookingAndStatusSuccessRatio >= 0.999,
        `success ratio ${result.bookingAndStatusSuccessRatio}`,
    );
    t.true(result.goodputRatio >= 0.9, `goodput ratio ${result.goodputRatio}`);
});
