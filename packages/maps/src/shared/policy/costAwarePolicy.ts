/**
 * Policy that moves copies only when the predicted gain exceeds the cost of moving.
 *
 * @packageDocumentation
 */

import type { ExpertLoads, ExpertMap } from "../../types/expertMap.ts";
import type { MapDecision, MapPolicy, MapSituation } from "../../types/mapPolicy.ts";
import { applyPlans, improveMap, type LayerPlan } from "../placement/improveMap.ts";
import { measureMap } from "../placement/mapCost.ts";

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
}

const DEFAULTS: Required<CostAwarePolicyOptions> = {
    horizonMs: 300_000,
    hysteresis: 2,
    loadBudgetMs: 10_000,
    minIntervalMs: 10_000,
};

/** Steps that a change of map costs even if it loads nothing. */
const SWITCH_STEPS = 1;

/** Prices of one situation, per step and per copy. */
interface Prices {
    readonly stepMs: number;
    readonly horizonSteps: number;
    readonly copyMs: number;
    readonly switchMs: number;
}

const priceOf = (
    { costs }: MapSituation,
    peak: number,
    options: Required<CostAwarePolicyOptions>,
): Prices => {
    const stepMs = costs.fixedStepMs + costs.assignmentMs * peak;
    const loadMs = costs.expertBytes / costs.storeBytesPerS * 1_000;
    return {
        stepMs,
        horizonSteps: options.horizonMs / stepMs,
        copyMs: loadMs * costs.loadSlowdown + costs.takeInMs,
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

const scaledLoads = (situation: MapSituation): ExpertLoads => {
    const loads = situation.popularity.shares();
    for (let index = 0; index < loads.length; index++) {
        loads[index]! *= situation.costs.assignmentsPerStep;
    }
    return loads;
};

/** One decision with its inputs at hand. */
class Decision {
    private readonly loads: ExpertLoads;
    private readonly prices: Prices;
    private readonly currentPeak: number;

    public constructor(
        private readonly situation: MapSituation,
        private readonly options: Required<CostAwarePolicyOptions>,
    ) {
        this.loads = scaledLoads(situation);
        this.currentPeak = measureMap(situation.map, this.loads).peak;
        this.prices = priceOf(situation, this.currentPeak, options);
    }

    /** Returns the best change that pays, or undefined. */
    public run(): MapDecision | undefined {
        const { costs, map } = this.situation;
        const confidence = this.situation.popularity.confidence();
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

    private judge(next: ExpertMap, copies: number, confidence: number): MapDecision | undefined {
        const { prices, options } = this;
        const gainMsPerStep = (this.currentPeak - measureMap(next, this.loads).peak)
            * this.situation.costs.assignmentMs;
        const gainMs = gainMsPerStep * prices.horizonSteps * confidence;
        const costMs = prices.switchMs + copies * prices.copyMs;
        if (gainMs <= options.hysteresis * costMs) {
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
    return {
        name: "magnolialock",
        decide: situation => {
            if (situation.nowMs - lastChangeMs < settings.minIntervalMs) {
                return undefined;
            }
            const decision = new Decision(situation, settings).run();
            lastChangeMs = decision ? situation.nowMs : lastChangeMs;
            return decision;
        },
    };
};
