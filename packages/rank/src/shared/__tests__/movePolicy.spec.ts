import test from "ava";
import { isUneven, isWorthCopies, toleranceFor } from "../movePolicy.ts";
import { PassMeter } from "../passMeter.ts";

test("a quiet group keeps a map that a busy one changes", t => {
    t.false(isUneven(1.5, 40));
    t.true(isUneven(1.5, 80));
    t.true(isUneven(2.5, 40));
    t.false(isUneven(1.1, 200));
});

test("a plan pays for each of its copies", t => {
    t.true(isWorthCopies({ skewBefore: 2, skewAfter: 1.2, copies: 30 }, 142));
    t.false(isWorthCopies({ skewBefore: 1.4, skewAfter: 1.2, copies: 30 }, 142));
    t.true(isWorthCopies({ skewBefore: 1.4, skewAfter: 1.2, copies: 30 }, 27));
});

test("the pass meter ignores idle spans", t => {
    const meter = new PassMeter();
    meter.add(1, 2, 0);
    meter.add(3, 2, 100);
    t.is(meter.passMs, 50);
    meter.add(3, 0, 5_000);
    meter.add(4, 0, 10_000);
    t.is(meter.passMs, 50);
});

test("the shorter the passes, the fewer copies a plan makes", t => {
    t.true(toleranceFor(40) > toleranceFor(80));
    t.true(toleranceFor(80) > toleranceFor(120));
});

test("a group whose passes were not seen yet counts as busy", t => {
    t.is(new PassMeter().passMs, undefined);
    t.true(isUneven(1.5, undefined));
    t.is(toleranceFor(undefined), toleranceFor(120));
});
