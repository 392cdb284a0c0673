/**
 * Policy that moves copies only when the predicted gain exceeds the cost of moving.
 *
 * @packageDocumentation
 */

import type { ExpertLoads, ExpertMap } from "../../types/expertMap.ts";
import type { MapDecision, MapPolicy, MapSituation } from "../../types/mapPolicy.ts";
import { applyPlans, improveMap, type LayerPlan } from "../placement/improveMap.ts";
import { type MapLoad, measureMap } from "../placement/mapCost.ts";
import { GainTrust } from "./gainTrust.ts";
import { scaledLoads } from "./scaledLoads.ts";

/** Options of {@link createCostAwarePolicy}. */
export interface CostAwarePolicyOptions {
    /** Time over which a better map has to pay for its cost, in milliseconds. */
    readonly horizonMs?: number;
    /** Factor by which the gain has to exceed the cost. */
    readonly hysteresis?: number;
    /** Longest time that one change loads copies, in milliseconds. */
    readonly loadBudgetMs?: number;
    /** Shortest time between two changes, in milliseconds. */
    readonly minIntervalMs?: number;
    /** Standard errors of a rank's load that a gain has to exceed, since it may be due to chance. */
    readonly noiseErrors?: number;
}

const DEFAULTS: Required<CostAwarePolicyOptions> = {
    horizonMs: 600_000,
    hysteresis: 2,
    loadBudgetMs: 30_000,
    minIntervalMs: 10_000,
    noiseErrors: 1,
};

/** Steps that a change of map costs even if it loads nothing. */
const SWITCH_STEPS = 1;
/** Copies of a change on the rank that gets the most of them, over the mean of the ranks. */
const COPY_IMBALANCE = 4;

/** Prices of one situation, per step and per copy. */
interface Prices {
    readonly stepMs: number;
    readonly horizonSteps: number;
    readonly copyMs: number;
    readonly switchMs: number;
}

const priceOf = (
    { costs, map }: MapSituation,
    peak: number,
    options: Required<CostAwarePolicyOptions>,
): Prices => {
    const stepMs = costs.fixedStepMs + costs.assignmentMs * peak;
    const loadMs = costs.expertBytes / costs.storeBytesPerS * 1_000;
    return {
        stepMs,
        horizonSteps: options.horizonMs / stepMs,
        copyMs: loadMs * costs.loadSlowdown + costs.takeInMs * Math.min(1, COPY_IMBALANCE / map.shape.ranks),
        switchMs: SWITCH_STEPS * stepMs,
    };
};

const takeWithinBudget = (plans: readonly LayerPlan[], maxCopies: number): LayerPlan[] => {
    const taken: LayerPlan[] = [];
    let copies = 0;
    for (const plan of plans) {
        if (taken.length === 0 || copies + plan.copies <= maxCopies) {
            taken.push(plan);
            copies += plan.copies;
        }
    }
    return taken;
};

/** One decision with its inputs at hand. */
class Decision {
    private readonly loads: ExpertLoads;
    private readonly prices: Prices;
    private readonly current: MapLoad;

    public constructor(
        private readonly situation: MapSituation,
        private readonly options: Required<CostAwarePolicyOptions>,
        private readonly trust: number,
    ) {
        this.loads = scaledLoads(situation);
        this.current = measureMap(situation.map, this.loads);
        this.prices = priceOf(situation, this.current.peak, options);
    }

    /** Returns the best change that pays, or undefined. */
    public run(): MapDecision | undefined {
        const { costs, map } = this.situation;
        const confidence = this.situation.popularity.confidence() * this.trust;
        const { prices, options } = this;
        const msPerLoad = costs.assignmentMs * prices.horizonSteps * confidence;
        const { rebalanced, layerPlans } = improveMap(map, this.loads, {
            loadPerCopy: options.hysteresis * prices.copyMs / msPerLoad,
        });
        const maxCopies = Math.floor(options.loadBudgetMs * costs.storeBytesPerS / 1_000 / costs.expertBytes);
        const plans = takeWithinBudget(layerPlans, maxCopies);
        const next = plans.length > 0 ? applyPlans(rebalanced, this.loads, plans) : rebalanced;
        const copies = plans.reduce((sum, plan) => sum + plan.copies, 0);
        return this.judge(next, copies, confidence);
    }

    /** Load by which the fullest ranks may seem to improve because the new map fits the chance of the samples. */
    private noiseLoad(): number {
        const { map, popularity } = this.situation;
        return this.options.noiseErrors * Math.sqrt(map.shape.ranks / popularity.samplesPerLayer())
            * this.current.mean;
    }

    private judge(next: ExpertMap, copies: number, confidence: number): MapDecision | undefined {
        const { prices, options } = this;
        const gainMsPerStep = (this.current.peak - measureMap(next, this.loads).peak - this.noiseLoad())
            * this.situation.costs.assignmentMs;
        const gainMs = gainMsPerStep * prices.horizonSteps * confidence;
        const costMs = prices.switchMs + copies * prices.copyMs;
        if (!(gainMs > options.hysteresis * costMs)) {
            return undefined;
        }
        return {
            map: next,
            copies,
            gainMsPerStep,
            reason: `saves ${gainMs.toFixed(0)} ms over ${options.horizonMs / 1_000} s for a cost of `
                + `${costMs.toFixed(0)} ms; ${copies} copies`,
        };
    }
}

/**
 * Creates the policy.
 *
 * @param options - horizon, hysteresis, budget and interval
 * @returns the policy, for one group
 */
export const createCostAwarePolicy = (options: CostAwarePolicyOptions = {}): MapPolicy => {
    const settings = { ...DEFAULTS, ...options };
    let lastChangeMs = Number.NEGATIVE_INFINITY;
    const trust = new GainTrust();
    return {
        name: "magnolialock",
        decide: situation => {
            if (situation.nowMs - lastChangeMs < settings.minIntervalMs) {
                return undefined;
            }
            trust.review(situation);
            const decision = new Decision(situation, settings, trust.factor).run();
            if (decision) {
                lastChangeMs = situation.nowMs;
                trust.expect(situation, decision);
            }
            return decision;
        },
    };
};
