import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import test from "ava";
import type { RankStatus } from "../../types/rankMessages.ts";
import { ExpertDemand } from "../expertDemand.ts";
import { leaderCycleMs } from "../groupTiming.ts";
import { planRebalancing } from "../rebalancePolicy.ts";
import { type ReplayResult, replayShifts, statusSweepMs } from "./shiftReplay.ts";

const MIN_CYCLE_MS = 150;
const TINY: ExpertSpec = { sets: 4, experts: 64, placesPerRank: 11, newPerPreparation: 4, copyMs: 142 };
const SMALL: ExpertSpec = { sets: 3, experts: 96, placesPerRank: 11, newPerPreparation: 4, copyMs: 142 };
const MEDIUM: ExpertSpec = { sets: 16, experts: 96, placesPerRank: 5, newPerPreparation: 2, copyMs: 27 };
const LARGE: ExpertSpec = { sets: 12, experts: 144, placesPerRank: 3, newPerPreparation: 2, copyMs: 16 };

/** Replays the decisions of a leader; returns the means over all seeds, and the largest plan. */
const replay = async (spec: ExpertSpec, ranks: number, seeds: number): Promise<ReplayResult> => {
    const results = await Promise.all(Array.from({ length: seeds }, (_, index) => {
        const demand = new ExpertDemand(spec, ranks);
        return replayShifts(spec, ranks, index + 1, {
            cycleMs: Math.max(MIN_CYCLE_MS, leaderCycleMs(ranks, statusSweepMs(ranks))),
            add: (counts, nowMs) => demand.add([{ newCounts: [...counts] } as unknown as RankStatus], nowMs),
            plan: async (current, passMs) =>
                demand.hasEnoughSamples
                    ? planRebalancing({
                        current,
                        passMs,
                        limits: spec,
                        shares: demand.shares(),
                        slowness: [],
                    }, () => Promise.resolve())
                    : undefined,
        });
    }));
    const mean = (value: (result: ReplayResult) => number): number =>
        results.reduce((sum, result) => sum + value(result), 0) / results.length;
    return {
        meanSkew: mean(({ meanSkew }) => meanSkew),
        copies: mean(({ copies }) => copies),
        switches: mean(({ switches }) => switches),
        largestPlan: Math.max(...results.map(({ largestPlan }) => largestPlan)),
    };
};

/** Results of the same replay with the planner, cycle and half-life before plans were made cheaper. */
const CASES = [
    { ranks: 8, spec: TINY, seeds: 8, skewBefore: 1.2954, copiesBefore: 43.25, largestPlanBefore: 1_538 },
    { ranks: 12, spec: SMALL, seeds: 8, skewBefore: 1.3809, copiesBefore: 70.75, largestPlanBefore: 2_811 },
    {
        ranks: 24,
        spec: MEDIUM,
        seeds: 4,
        skewBefore: 1.7449,
        copiesBefore: 1029.75,
        largestPlanBefore: 60_059,
    },
    {
        ranks: 63,
        spec: LARGE,
        seeds: 2,
        skewBefore: 2.6608,
        copiesBefore: 1845.5,
        largestPlanBefore: 185_520,
    },
    {
        ranks: 64,
        spec: LARGE,
        seeds: 2,
        skewBefore: 3.0412,
        copiesBefore: 1_944,
        largestPlanBefore: 197_638,
    },
    {
        ranks: 72,
        spec: LARGE,
        seeds: 2,
        skewBefore: 3.21,
        copiesBefore: 1945.5,
        largestPlanBefore: 310_300,
    },
    {
        ranks: 128,
        spec: { ...LARGE, experts: 256 },
        seeds: 2,
        skewBefore: 5.4129,
        copiesBefore: 2_739,
        largestPlanBefore: 853_833,
    },
];
const SMALL_RANKS = 24;

for (const { copiesBefore, largestPlanBefore, ranks, seeds, skewBefore, spec } of CASES) {
    // Guards against cheaper plans that balance worse, copy more in small groups, or grow with the square of the
    // number of ranks again.
    test(`maps of ${ranks} ranks follow shifts of popularity better than before, with cheaper plans`, async t => {
        const { copies, largestPlan, meanSkew, switches } = await replay(spec, ranks, seeds);
        t.log(`skew ${meanSkew.toFixed(3)}, copies ${copies}, switches ${switches}, moves ${largestPlan}`);
        t.true(largestPlan <= largestPlanBefore / 2);
        if (ranks <= SMALL_RANKS) {
            t.true(meanSkew <= skewBefore);
            t.true(copies <= copiesBefore);
        }
        else {
            t.true(meanSkew <= skewBefore * 0.95);
            t.true(largestPlan <= largestPlanBefore / 10);
            // More of the plans are in time, and each plan has about as many copies as before.
            t.true(copies <= copiesBefore * 1.6);
        }
    });
}
