/**
 * Routing policies: plug-ins that choose the agent for an attempt.
 *
 * @packageDocumentation
 */

import { type DataCentreId, type Plugin, PluginRegistry, type RandomSource } from "@magnolialock/kernel";
import type { AgentPeer } from "./agentPeer.ts";

/** Inputs of a routing decision. */
export interface RoutingContext {
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Prefix key of the prompt; empty if unknown. */
    readonly prefixKey: string;
    /** Size of the request body, used to estimate the prefill time. */
    readonly bodyBytes: number;
}

/** Chooses among the agents that may be sent new requests. */
export interface RoutingPolicy extends Plugin {
    /**
     * Chooses an agent.
     *
     * @param candidates - agents to choose from; at least one
     * @param context - data centre of the entry and properties of the request
     * @returns one of the candidates
     */
    choose(candidates: readonly AgentPeer[], context: RoutingContext): AgentPeer;
}

/** Creates a policy instance with its own state for each entry. */
export interface RoutingPolicyFactory extends Plugin {
    /** Creates the policy. */
    create(): RoutingPolicy;
}

/** Registry of the routing policies. */
export const routingPolicies = new PluginRegistry<RoutingPolicyFactory>("routing policy");
