import test from "ava";
import { PassDurationMeter } from "../passDurationMeter.ts";
import { imbalanceTolerance, isWorthCopying, needsRebalancing } from "../rebalancePolicy.ts";

test("a quiet group keeps a map that a busy group would replace", t => {
    t.false(needsRebalancing(1.5, 40));
    t.true(needsRebalancing(1.5, 80));
    t.true(needsRebalancing(2.5, 40));
    t.false(needsRebalancing(1.1, 200));
});

test("the required reduction of skew grows with the duration of the copies", t => {
    t.true(isWorthCopying({ skewBefore: 2, skewAfter: 1.2, copies: 30 }, 142));
    t.false(isWorthCopying({ skewBefore: 1.4, skewAfter: 1.2, copies: 30 }, 142));
    t.true(isWorthCopying({ skewBefore: 1.4, skewAfter: 1.2, copies: 30 }, 27));
});

test("the pass duration excludes idle periods", t => {
    const meter = new PassDurationMeter();
    meter.add(1, 2, 0);
    meter.add(3, 2, 100);
    t.is(meter.passMs, 50);
    meter.add(3, 0, 5_000);
    meter.add(4, 0, 10_000);
    t.is(meter.passMs, 50);
});

test("shorter passes tolerate more imbalance", t => {
    t.true(imbalanceTolerance(40) > imbalanceTolerance(80));
    t.true(imbalanceTolerance(80) > imbalanceTolerance(120));
});

test("a group without a measured pass duration counts as busy", t => {
    t.is(new PassDurationMeter().passMs, undefined);
    t.true(needsRebalancing(1.5, undefined));
    t.is(imbalanceTolerance(undefined), imbalanceTolerance(120));
});
