/**
 * Routing policies: plug-ins that choose the agent of an attempt.
 *
 * @packageDocumentation
 */

import { type DataCentreId, type Plugin, PluginRegistry, type RandomSource } from "@magnolialock/kernel";
import type { AgentPeer } from "./agentPeer.ts";

/** What a policy may look at. */
export interface RoutingContext {
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Key of the prompt's prefix; empty if unknown. */
    readonly prefixKey: string;
    /** Size of the request's body, which tells how long a prompt takes to compute. */
    readonly bodyBytes: number;
}

/** Chooses among candidates that may get new work. */
export interface RoutingPolicy extends Plugin {
    /**
     * Chooses an agent.
     *
     * @param candidates - at least one agent
     * @param context - where the entry stands and what the request is
     * @returns one of the candidates
     */
    choose(candidates: readonly AgentPeer[], context: RoutingContext): AgentPeer;
}

/** A factory makes a policy with its own state for each entry. */
export interface RoutingPolicyFactory extends Plugin {
    /** Makes the policy. */
    create(): RoutingPolicy;
}

/** All routing policies. */
export const routingPolicies = new PluginRegistry<RoutingPolicyFactory>("routing policy");
