import test from "ava";
import { PopularityEstimate } from "../popularity.ts";

const shape = { ranks: 2, experts: 4, layers: 1, slotsPerRank: 3 };
const report = (endMs: number, counts: number[]) => ({ endMs, counts: Float64Array.from(counts) });

test("without samples all experts have equal shares and the confidence is zero", t => {
    const estimate = new PopularityEstimate({ shape, halfLifeMs: 1_000 });
    t.deepEqual([...estimate.shares()], [0.25, 0.25, 0.25, 0.25]);
    t.is(estimate.confidence(), 0);
});

test("the confidence grows with the number of samples", t => {
    const estimate = new PopularityEstimate({ shape, halfLifeMs: 1_000 });
    estimate.add(report(0, [4, 4, 4, 4]));
    const first = estimate.confidence();
    estimate.add(report(0, [4, 4, 4, 4]));
    t.true(first > 0 && estimate.confidence() > first && estimate.confidence() < 1);
});

test("samples have half their weight after the half-life", t => {
    const estimate = new PopularityEstimate({ shape, halfLifeMs: 1_000, priorSamplesPerExpert: 0 });
    estimate.add(report(0, [100, 0, 0, 0]));
    estimate.add(report(1_000, [0, 50, 0, 0]));
    t.deepEqual([...estimate.shares()], [0.5, 0.5, 0, 0]);
});

test("a late report is weighted by its age", t => {
    const estimate = new PopularityEstimate({ shape, halfLifeMs: 1_000, priorSamplesPerExpert: 0 });
    estimate.add(report(1_000, [0, 50, 0, 0]));
    estimate.add(report(0, [100, 0, 0, 0]));
    t.deepEqual([...estimate.shares()], [0.5, 0.5, 0, 0]);
});
