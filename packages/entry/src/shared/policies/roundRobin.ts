/**
 * Baseline policy `round-robin`.
 *
 * @packageDocumentation
 */

import type { AgentPeer } from "../agentPeer.ts";
import { routingPolicies } from "../routingPolicy.ts";

/** Chooses the candidates in turn. */
export const roundRobinPolicy = routingPolicies.register({
    name: "round-robin",
    create: () => {
        let next = 0;
        return {
            name: "round-robin",
            choose: candidates => candidates[next++ % candidates.length] as AgentPeer,
        };
    },
});
