/**
 * Loads of one step, derived from the popularity of experts.
 *
 * @packageDocumentation
 */

import type { ExpertLoads } from "../../types/expertMap.ts";
import type { MapSituation } from "../../types/mapPolicy.ts";

/**
 * Computes the expected number of tokens for each expert in one step.
 *
 * @param situation - state of the group
 * @returns loads by layer, then expert
 */
export const expectedStepLoads = (situation: MapSituation): ExpertLoads => {
    const loads = situation.popularity.shares();
    for (let index = 0; index < loads.length; index++) {
        loads[index]! *= situation.costs.assignmentsPerStep;
    }
    return loads;
};
