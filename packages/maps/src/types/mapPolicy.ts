/**
 * Policies that decide when a group changes its expert map.
 *
 * @packageDocumentation
 */

import type { PopularityEstimate } from "../shared/popularity.ts";
import type { ExpertMap } from "./expertMap.ts";

/** What moving costs and what a unit of load costs, in the group at hand. */
export interface GroupCosts {
    /** Tokens that each layer routes in one step, over all experts of a token. */
    readonly assignmentsPerStep: number;
    /** Time of one routed token on a rank, in milliseconds. */
    readonly assignmentMs: number;
    /** Time of a step apart from experts, in milliseconds. */
    readonly fixedStepMs: number;
    /** Size of one expert copy, in bytes. */
    readonly expertBytes: number;
    /** What the weight store gives the group, in bytes per second. */
    readonly storeBytesPerS: number;
    /** Share by which steps are slower while copies are loaded. */
    readonly loadSlowdown: number;
    /** Time that a rank stands still to take in one loaded copy, in milliseconds. */
    readonly takeInMs: number;
}

/** State of a group when its policy is asked. */
export interface MapSituation {
    /** Time of the group, in milliseconds. */
    readonly nowMs: number;
    /** Map in force. */
    readonly map: ExpertMap;
    /** Popularity over the recent past. */
    readonly popularity: PopularityEstimate;
    /** Costs of the group. */
    readonly costs: GroupCosts;
}

/** A decision to change the map. */
export interface MapDecision {
    /** The next map. */
    readonly map: ExpertMap;
    /** Copies that it loads, over all ranks. */
    readonly copies: number;
    /** Step time that it is expected to save, in milliseconds per step. */
    readonly gainMsPerStep: number;
    /** Why, in one sentence, for the time line. */
    readonly reason: string;
}

/** Decides when a group changes its map. */
export interface MapPolicy {
    /** Name of the policy. */
    readonly name: string;
    /**
     * Decides whether to change the map now.
     *
     * @param situation - state of the group
     * @returns the next map, or undefined to leave it
     */
    decide(situation: MapSituation): MapDecision | undefined;
}
