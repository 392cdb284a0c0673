/**
 * Policy that changes the map only when the predicted gain exceeds the cost of the change.
 *
 * @packageDocumentation
 */

import type { ExpertLoads, ExpertMap } from "../../types/expertMap.ts";
import type { MapDecision, MapPolicy, MapSituation } from "../../types/mapPolicy.ts";
import { applyPlans, improveMap, type LayerPlan } from "../placement/improveMap.ts";
import { type MapLoad, measureMap } from "../placement/mapCost.ts";
import { expectedStepLoads } from "./expectedStepLoads.ts";
import { GainTrust } from "./gainTrust.ts";

/** Options of {@link createCostAwarePolicy}. */
export interface CostAwarePolicyOptions {
    /** Time within which the gain of a better map must make up for its cost, in milliseconds. */
    readonly horizonMs?: number;
    /** Factor by which the gain must exceed the cost. */
    readonly hysteresis?: number;
    /** Longest time for which one change may load copies, in milliseconds. */
    readonly loadBudgetMs?: number;
    /** Shortest time between two changes, in milliseconds. */
    readonly minIntervalMs?: number;
    /**
     * Standard errors of a rank's load that a gain must exceed, since a smaller one may be sampling noise.
     */
    readonly noiseStandardErrors?: number;
}

const DEFAULTS: Required<CostAwarePolicyOptions> = {
    horizonMs: 600_000,
    hysteresis: 2,
    loadBudgetMs: 30_000,
    minIntervalMs: 10_000,
    noiseStandardErrors: 1,
};

/** Cost of a map switch that loads nothing, in steps. */
const SWITCH_STEPS = 1;
/** Assumed ratio of the copies on the rank that loads the most to the mean over all ranks. */
const COPY_IMBALANCE = 4;

/** Estimated costs of steps, copies and a switch in one situation. */
interface UnitCosts {
    readonly stepMs: number;
    readonly horizonSteps: number;
    readonly copyMs: number;
    readonly switchMs: number;
}

const estimateUnitCosts = (
    { costs, map }: MapSituation,
    peak: number,
    options: Required<CostAwarePolicyOptions>,
): UnitCosts => {
    const stepMs = costs.fixedStepMs + costs.assignmentMs * peak;
    const loadMs = costs.expertBytes / costs.storeBytesPerS * 1_000;
    return {
        stepMs,
        horizonSteps: options.horizonMs / stepMs,
        copyMs: loadMs * costs.loadSlowdown + costs.installMs * Math.min(1, COPY_IMBALANCE / map.shape.ranks),
        switchMs: SWITCH_STEPS * stepMs,
    };
};

const selectWithinBudget = (plans: readonly LayerPlan[], maxCopies: number): LayerPlan[] => {
    const selected: LayerPlan[] = [];
    let copies = 0;
    for (const plan of plans) {
        if (selected.length === 0 || copies + plan.copies <= maxCopies) {
            selected.push(plan);
            copies += plan.copies;
        }
    }
    return selected;
};

/** Evaluates possible changes of the map in one situation. */
class ChangeEvaluation {
    private readonly loads: ExpertLoads;
    private readonly unitCosts: UnitCosts;
    private readonly current: MapLoad;

    public constructor(
        private readonly situation: MapSituation,
        private readonly options: Required<CostAwarePolicyOptions>,
        private readonly trust: number,
    ) {
        this.loads = expectedStepLoads(situation);
        this.current = measureMap(situation.map, this.loads);
        this.unitCosts = estimateUnitCosts(situation, this.current.peak, options);
    }

    /** Returns the best change whose gain exceeds its cost, or undefined if there is none. */
    public findChange(): MapDecision | undefined {
        const { costs, map } = this.situation;
        const confidence = this.situation.popularity.confidence() * this.trust;
        const { unitCosts, options } = this;
        const msPerLoad = costs.assignmentMs * unitCosts.horizonSteps * confidence;
        const { rebalanced, layerPlans } = improveMap(map, this.loads, {
            minLoadReductionPerCopy: options.hysteresis * unitCosts.copyMs / msPerLoad,
        });
        const maxCopies = Math.floor(options.loadBudgetMs * costs.storeBytesPerS / 1_000 / costs.expertBytes);
        const plans = selectWithinBudget(layerPlans, maxCopies);
        const next = plans.length > 0 ? applyPlans(rebalanced, this.loads, plans) : rebalanced;
        const copies = plans.reduce((sum, plan) => sum + plan.copies, 0);
        return this.acceptIfWorthwhile(next, copies, confidence);
    }

    /**
     * Apparent load reduction of the most loaded ranks that may come from fitting the new map to sampling
     * noise.
     */
    private noiseMargin(): number {
        const { map, popularity } = this.situation;
        return this.options.noiseStandardErrors * Math.sqrt(map.shape.ranks / popularity.samplesPerLayer())
            * this.current.mean;
    }

    private acceptIfWorthwhile(next: ExpertMap, copies: number, confidence: number): MapDecision | undefined {
        const { unitCosts, options } = this;
        const gainMsPerStep = (this.current.peak - measureMap(next, this.loads).peak - this.noiseMargin())
            * this.situation.costs.assignmentMs;
        const gainMs = gainMsPerStep * unitCosts.horizonSteps * confidence;
        const costMs = unitCosts.switchMs + copies * unitCosts.copyMs;
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
 * Creates a cost-aware policy.
 *
 * @param options - horizon, hysteresis, load budget, interval and noise margin
 * @returns a policy with state of its own, for one group
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
            trust.compareWithOutcome(situation);
            const decision = new ChangeEvaluation(situation, settings, trust.factor).findChange();
            if (decision) {
                lastChangeMs = situation.nowMs;
                trust.recordPrediction(situation, decision);
            }
            return decision;
        },
    };
};
