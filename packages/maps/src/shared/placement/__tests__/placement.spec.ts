import { createRandomSource, shuffled } from "@magnolialock/kernel";
import test from "ava";
import type { ExpertLoads, ExpertMap, GroupShape } from "../../../types/expertMap.ts";
import { applyPlans, improveMap } from "../improveMap.ts";
import { viewLayer } from "../layerView.ts";
import { countLoadedCopies, measureMap } from "../mapCost.ts";
import { createInitialMap, planMap } from "../planMap.ts";

const shape: GroupShape = { ranks: 8, experts: 32, layers: 3, slotsPerRank: 5 };

/** Creates loads that follow Zipf's law, in random order. */
const zipfLoads = (seed: number): ExpertLoads => {
    const random = createRandomSource(seed);
    const layers = Array.from(
        { length: shape.layers },
        () => shuffled(random, Array.from({ length: shape.experts }, (_, index) => 1_000 / (index + 1))),
    );
    return Float64Array.from(layers.flat());
};

const assertSharesAddUp = (
    t: { true: (value: boolean, text?: string) => unknown; },
    map: ExpertMap,
): void => {
    for (let layer = 0; layer < shape.layers; layer++) {
        const { experts, shares } = viewLayer(map, zipfLoads(1), layer);
        const sums = new Float64Array(shape.experts);
        experts.forEach((expert, slot) => sums[expert]! += shares[slot]!);
        t.true(sums.every(sum => Math.abs(sum - 1) < 1e-5), `shares of layer ${layer}`);
        t.true(shares.every(share => share >= 0));
    }
};

const hasNoDuplicates = (map: ExpertMap): boolean => {
    for (let first = 0; first < map.experts.length; first += shape.slotsPerRank) {
        if (new Set(map.experts.subarray(first, first + shape.slotsPerRank)).size < shape.slotsPerRank) {
            return false;
        }
    }
    return true;
};

for (const seed of [1, 2, 3, 4, 5]) {
    test(`a plan from scratch places every expert and balances the ranks, seed ${seed}`, t => {
        const loads = zipfLoads(seed);
        const map = planMap(shape, loads);
        assertSharesAddUp(t, map);
        t.true(hasNoDuplicates(map));
        const { peak, mean } = measureMap(map, loads);
        t.true(peak / mean <= 1.05, `skew ${peak / mean}`);
    });

    test(`an incremental plan comes close to balance with fewer loaded copies, seed ${seed}`, t => {
        const loads = zipfLoads(seed);
        const start = createInitialMap(shape);
        const { rebalanced, layerPlans } = improveMap(start, loads, { minLoadReductionPerCopy: 0 });
        const next = applyPlans(rebalanced, loads, layerPlans);
        assertSharesAddUp(t, next);
        t.true(hasNoDuplicates(next));
        const { peak, mean } = measureMap(next, loads);
        t.true(peak / mean <= 1.1, `skew ${peak / mean}`);
        const sum = (copies: Uint32Array): number => copies.reduce((total, count) => total + count, 0);
        const moved = sum(countLoadedCopies(start, next));
        t.true(moved <= layerPlans.reduce((total, plan) => total + plan.copies, 0));
        t.true(moved < sum(countLoadedCopies(start, planMap(shape, loads))));
    });
}

test("the same loads give the same plan", t => {
    t.deepEqual(planMap(shape, zipfLoads(7)), planMap(shape, zipfLoads(7)));
});

test("moves that cost more than they gain are not planned", t => {
    const { layerPlans } = improveMap(createInitialMap(shape), zipfLoads(1), {
        minLoadReductionPerCopy: 1e9,
    });
    t.deepEqual(layerPlans, []);
});

test("the initial map contains every expert, and no rank holds an expert twice", t => {
    t.true(hasNoDuplicates(createInitialMap(shape)));
    assertSharesAddUp(t, createInitialMap(shape));
});
