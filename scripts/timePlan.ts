/**
 * Measures the processor time of a plan for a large group after a shift of popularity.
 *
 *     npx tsx scripts/timePlan.ts [RANKS] [PLANS]
 *
 * @packageDocumentation
 */

import { createRandomSource } from "@magnolialock/kernel";
import { improvePlacement } from "../packages/rank/src/shared/improvePlacement.ts";
import type { ExpertPlacement } from "../packages/rank/src/types/rankServer.ts";

const DEFAULT_RANKS = 72;
const DEFAULT_PLANS = 12;
const SPEC = { sets: 12, experts: 144, placesPerRank: 3, newPerPreparation: 2, copyMs: 16 };
const OPTIONS = { limits: SPEC, maxCopiesPerRank: 17, tolerance: 0.15 };
const MICROSECONDS_PER_MS = 1_000;

const [ranks = DEFAULT_RANKS, plans = DEFAULT_PLANS] = process.argv.slice(2).map(Number);
const random = createRandomSource(1);

const drawShares = (): number[][] =>
    Array.from({ length: SPEC.sets }, () => {
        const weights = Array.from(
            { length: SPEC.experts },
            () => (1 + SPEC.experts * random.nextFloat()) ** -1,
        );
        const sum = weights.reduce((total, weight) => total + weight, 0);
        return weights.map(weight => weight / sum);
    });

const experts = Array.from({ length: SPEC.experts }, (_, expert) => expert);
let current: ExpertPlacement = Array.from(
    { length: SPEC.sets },
    () => Array.from({ length: ranks }, (_, rank) => experts.filter(expert => expert % ranks === rank)),
);
for (let count = 0; count < plans; count++) {
    const shares = drawShares();
    const start = process.cpuUsage();
    const plan = improvePlacement(current, shares, OPTIONS);
    const { system, user } = process.cpuUsage(start);
    const tookMs = (user + system) / MICROSECONDS_PER_MS;
    process.stdout.write(
        `plan ${count}: ${
            tookMs.toFixed(1)
        } ms, ${plan.evaluatedMoves} moves evaluated, ${plan.copies} copies, `
            + `skew ${plan.skewBefore.toFixed(2)} to ${plan.skewAfter.toFixed(2)}\n`,
    );
    current = plan.placement;
}
