import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import { createRandomSource } from "@magnolialock/kernel";
import test from "ava";
import type { ExpertPlacement } from "../../types/rankServer.ts";
import { improvePlacement, planInSlices, skewOf } from "../improvePlacement.ts";

const RANKS = 12;
const SPEC: ExpertSpec = { sets: 3, experts: 96, placesPerRank: 11, newPerPreparation: 4, copyMs: 142 };
const OPTIONS = { limits: SPEC, maxCopiesPerRank: 3, tolerance: 0.12 };

const roundRobinPlacement = (): ExpertPlacement =>
    Array.from(
        { length: SPEC.sets },
        () =>
            Array.from({ length: RANKS }, (_, rank) =>
                Array.from({ length: SPEC.experts }, (_unused, expert) =>
                    expert).filter(expert =>
                        expert % RANKS === rank
                    )),
    );

/** Draws shares that follow a power law of popularity, in random order. */
const drawShares = (seed: number): number[][] => {
    const random = createRandomSource(seed);
    return Array.from({ length: SPEC.sets }, () => {
        const weights = Array.from({ length: SPEC.experts }, (_, position) => (position + 1) ** -1.3);
        for (let last = weights.length - 1; last > 0; last--) {
            const other = random.nextInt(0, last);
            [weights[last], weights[other]] = [weights[other] as number, weights[last] as number];
        }
        const sum = weights.reduce((total, weight) => total + weight, 0);
        return weights.map(weight => weight / sum);
    });
};

const newCopiesOn = (before: ExpertPlacement, after: ExpertPlacement, set: number, rank: number): number =>
    (after[set]?.[rank] ?? []).filter(expert => !before[set]?.[rank]?.includes(expert)).length;

test("plans respect all limits of maps", t => {
    for (let seed = 1; seed <= 20; seed++) {
        let current = roundRobinPlacement();
        for (let shift = 0; shift < 4; shift++) {
            const plan = improvePlacement(current, drawShares(seed * 10 + shift), OPTIONS);
            for (let set = 0; set < SPEC.sets; set++) {
                t.is(new Set(plan.placement[set]?.flat()).size, SPEC.experts);
                for (let rank = 0; rank < RANKS; rank++) {
                    const experts = plan.placement[set]?.[rank] ?? [];
                    t.true(experts.length <= SPEC.placesPerRank && new Set(experts).size === experts.length);
                    t.true(newCopiesOn(current, plan.placement, set, rank) <= SPEC.newPerPreparation);
                }
            }
            const copies = Array.from(
                { length: RANKS },
                (_, rank) =>
                    plan.placement.reduce(
                        (sum, _set, set) => sum + newCopiesOn(current, plan.placement, set, rank),
                        0,
                    ),
            );
            t.is(copies.reduce((sum, count) => sum + count, 0), plan.copies);
            t.is(Math.max(...copies), plan.copiesOfFullestRank);
            t.true(plan.copiesOfFullestRank <= OPTIONS.maxCopiesPerRank);
            current = plan.placement;
        }
    }
});

test("two plans reduce a skew above 2 to below 1.5", t => {
    for (let seed = 1; seed <= 20; seed++) {
        const shares = drawShares(seed);
        const start = roundRobinPlacement();
        t.true(skewOf(start, shares) > 2);
        const first = improvePlacement(start, shares, OPTIONS);
        const second = improvePlacement(first.placement, shares, OPTIONS);
        t.true(second.skewAfter < 1.5, `seed ${seed}: ${second.skewAfter}`);
    }
});

test("a balanced map is left unchanged", t => {
    const even = Array.from(
        { length: SPEC.sets },
        () => new Array<number>(SPEC.experts).fill(1 / SPEC.experts),
    );
    const plan = improvePlacement(roundRobinPlacement(), even, OPTIONS);
    t.is(plan.copies, 0);
    t.deepEqual(plan.placement, roundRobinPlacement());
});

test("a slow rank gets less load, as the whole group waits for it", t => {
    for (let seed = 1; seed <= 10; seed++) {
        const shares = drawShares(seed);
        const slowness = new Array<number>(RANKS).fill(1);
        slowness[3] = 3;
        let current = roundRobinPlacement();
        for (let plans = 0; plans < 4; plans++) {
            current = improvePlacement(current, shares, { ...OPTIONS, slowness }).placement;
        }
        // A rank that is three times slower and carries a full share of the load would cause a skew of 3.
        t.true(skewOf(current, shares, slowness) < 1.6, `seed ${seed}: ${skewOf(current, shares, slowness)}`);
    }
});

test("one plan balances many sets over the ranks of a large group, with one spare place a rank", t => {
    const spec: ExpertSpec = { sets: 16, experts: 96, placesPerRank: 5, newPerPreparation: 2, copyMs: 27 };
    const ranks = 24;
    const current = Array.from(
        { length: spec.sets },
        () =>
            Array.from(
                { length: ranks },
                (_, rank) =>
                    Array.from({ length: spec.experts / ranks }, (_unused, index) => index * ranks + rank),
            ),
    );
    const [shares = []] = drawShares(1);
    const demand = Array.from(
        { length: spec.sets },
        (_, set) => [...shares.slice(set), ...shares.slice(0, set)],
    );
    const plan = improvePlacement(current, demand, { limits: spec, maxCopiesPerRank: 15, tolerance: 0.15 });
    t.true(plan.skewBefore > 3);
    t.true(plan.skewAfter < 1.6, `${plan.skewAfter}`);
    t.true(plan.copiesOfFullestRank <= 15);
});

// Guards against plans of large groups that keep the agent from answering calls for their whole duration.
test("a plan of a large group comes in slices of at most 1,100 evaluated moves", t => {
    const spec: ExpertSpec = { sets: 12, experts: 96, placesPerRank: 3, newPerPreparation: 2, copyMs: 16 };
    const current = Array.from(
        { length: spec.sets },
        () => Array.from({ length: 72 }, (_, rank) => rank < 24 ? [rank, rank + 72] : [rank]),
    );
    const demand = Array.from({ length: spec.sets }, (_, set) => drawShares(set)[0] ?? []);
    const options = { limits: spec, maxCopiesPerRank: 17, tolerance: 0.15 };
    const slices = planInSlices(current, demand, options);
    let pauses = 0;
    let step = slices.next();
    for (; !step.done; step = slices.next()) {
        pauses += 1;
    }
    t.true(pauses >= 3);
    t.true(step.value.evaluatedMoves <= (pauses + 1) * 1_100);
    t.deepEqual(step.value, improvePlacement(current, demand, options));
});
