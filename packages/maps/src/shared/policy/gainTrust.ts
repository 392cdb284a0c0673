/**
 * How far predicted gains can be trusted, learned from the changes made so far.
 *
 * @packageDocumentation
 */

import type { ExpertMap } from "../../types/expertMap.ts";
import type { MapDecision, MapSituation } from "../../types/mapPolicy.ts";
import { measureMap } from "../placement/mapCost.ts";
import { scaledLoads } from "./scaledLoads.ts";

/** Weight of the newest change in the trust. */
const LEARNING_RATE = 0.4;
/** Part of the lost trust that comes back with each look at the group, so that lasting changes are met again. */
const RECOVERY_RATE = 0.02;
const MIN_TRUST = 0.05;

interface ExpectedGain {
    readonly oldMap: ExpertMap;
    readonly newMap: ExpertMap;
    readonly gainMsPerStep: number;
}

/**
 * Compares what a change was expected to save with what it saves on the popularity seen since. Popularity that flips
 * back and forth makes maps that are no better than the ones before, and the trust falls.
 */
export class GainTrust {
    private trust = 1;
    private expected: ExpectedGain | undefined;

    /** Factor on predicted gains, from nearly 0 to 1. */
    public get factor(): number {
        // The square keeps repeated disappointments from adding up to a change every few decisions.
        return this.trust ** 2;
    }

    /**
     * Remembers what a change is expected to save.
     *
     * @param situation - state before the change
     * @param decision - the change
     */
    public expect(situation: MapSituation, decision: MapDecision): void {
        const { gainMsPerStep } = decision;
        this.expected = { oldMap: situation.map, newMap: decision.map, gainMsPerStep };
    }

    /**
     * Learns from the last change, once.
     *
     * @param situation - state after the change
     */
    public review(situation: MapSituation): void {
        this.trust += RECOVERY_RATE * (1 - this.trust);
        const { expected } = this;
        if (!expected) {
            return;
        }
        this.expected = undefined;
        const loads = scaledLoads(situation);
        const savedLoad = measureMap(expected.oldMap, loads).peak - measureMap(expected.newMap, loads).peak;
        const kept = savedLoad * situation.costs.assignmentMs / expected.gainMsPerStep;
        const outcome = Math.min(1, Math.max(MIN_TRUST, kept));
        this.trust += LEARNING_RATE * (outcome - this.trust);
    }
}
