/**
 * Policies that decide when a group changes its expert map.
 *
 * @packageDocumentation
 */

import type { PopularityEstimate } from "../shared/popularity.ts";
import type { ExpertMap } from "./expertMap.ts";

/** Costs of load and of copies in one group. */
export interface GroupCosts {
    /**
     * Token-to-expert assignments of each layer in one step; a token counts once for each expert that it is
     * routed to.
     */
    readonly assignmentsPerStep: number;
    /** Time that a rank needs for one assignment, in milliseconds. */
    readonly assignmentMs: number;
    /** Duration of a step without the experts' work, in milliseconds. */
    readonly fixedStepMs: number;
    /** Size of one expert copy, in bytes. */
    readonly expertBytes: number;
    /** Bandwidth of the weight store for the group, in bytes per second. */
    readonly storeBytesPerS: number;
    /** Relative slowdown of steps while copies are loaded; 0 is none. */
    readonly loadSlowdown: number;
    /** Time for which a rank stalls while it installs one loaded copy, in milliseconds. */
    readonly installMs: number;
}

/** State of a group at a policy decision. */
export interface MapSituation {
    /** Time on the group's clock, in milliseconds. */
    readonly nowMs: number;
    /** Map in force. */
    readonly map: ExpertMap;
    /** Recent popularity of the experts. */
    readonly popularity: PopularityEstimate;
    /** Costs of the group. */
    readonly costs: GroupCosts;
}

/** A decision to change the map. */
export interface MapDecision {
    /** The next map. */
    readonly map: ExpertMap;
    /** Copies that the change loads, over all ranks. */
    readonly copies: number;
    /** Expected reduction of the step duration, in milliseconds per step. */
    readonly gainMsPerStep: number;
    /** Reason for the change, in one sentence, for the timeline. */
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
     * @returns the next map, or undefined to keep the map in force
     */
    decide(situation: MapSituation): MapDecision | undefined;
}
