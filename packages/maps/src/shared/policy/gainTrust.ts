/**
 * Trust in predicted gains, learned from the outcome of earlier changes.
 *
 * @packageDocumentation
 */

import type { ExpertMap } from "../../types/expertMap.ts";
import type { MapDecision, MapSituation } from "../../types/mapPolicy.ts";
import { measureMap } from "../placement/mapCost.ts";
import { expectedStepLoads } from "./expectedStepLoads.ts";

/** Weight of the latest change in the moving average of the trust. */
const LEARNING_RATE = 0.4;
/**
 * Fraction of the lost trust that returns with each decision, so that lasting popularity shifts are followed
 * again.
 */
const RECOVERY_RATE = 0.02;
const MIN_TRUST = 0.05;

interface PredictedGain {
    readonly oldMap: ExpertMap;
    readonly newMap: ExpertMap;
    readonly gainMsPerStep: number;
}

/**
 * Compares the predicted gain of a change with its gain on the popularity measured since. When popularity
 * flips back and forth, new maps are no better than the ones before, and the trust falls.
 */
export class GainTrust {
    private trust = 1;
    private lastPrediction: PredictedGain | undefined;

    /** Factor to apply to predicted gains, from nearly 0 to 1. */
    public get factor(): number {
        // Without the square, the map would still change every few decisions while predictions keep failing.
        return this.trust ** 2;
    }

    /**
     * Records the predicted gain of a change.
     *
     * @param situation - state before the change
     * @param decision - the change
     */
    public recordPrediction(situation: MapSituation, decision: MapDecision): void {
        const { gainMsPerStep } = decision;
        this.lastPrediction = { oldMap: situation.map, newMap: decision.map, gainMsPerStep };
    }

    /**
     * Lets some trust return and, once for each change, adjusts the trust to the gain that was realized.
     *
     * @param situation - state after the change
     */
    public compareWithOutcome(situation: MapSituation): void {
        this.trust += RECOVERY_RATE * (1 - this.trust);
        const { lastPrediction } = this;
        if (!lastPrediction) {
            return;
        }
        this.lastPrediction = undefined;
        const loads = expectedStepLoads(situation);
        const savedLoad = measureMap(lastPrediction.oldMap, loads).peak
            - measureMap(lastPrediction.newMap, loads).peak;
        const realizedFraction = savedLoad * situation.costs.assignmentMs / lastPrediction.gainMsPerStep;
        const outcome = Math.min(1, Math.max(MIN_TRUST, realizedFraction));
        this.trust += LEARNING_RATE * (outcome - this.trust);
    }
}
