import test from "ava";
import { MAIN_VARIANT } from "../../load/variants.ts";
import { runOutage } from "../outageExperiment.ts";

test("trace 10: one data centre out, another cut off, both back together", async t => {
    const figures = await runOutage({ seed: 21, size: "today", variant: MAIN_VARIANT });
    t.like(figures, {
        lostRequests: 0,
        cutOffRequests: 0,
        wrongAnswers: 0,
        doubleRuns: 0,
        falseNotRun: 0,
        overCapacityStarts: 0,
        overColdLimitStarts: 0,
    });
    t.true(figures.newWorkAfterOutMs <= 3_000, `new work after ${figures.newWorkAfterOutMs} ms`);
    t.true(figures.bookingAndStatusSuccessRatio >= 0.999, `${figures.bookingAndStatusSuccessRatio}`);
    t.true(figures.goodputRatio >= 0.9, `goodput ${figures.goodputRatio}`);
});
