/**
 * Baseline policy `random`.
 *
 * @packageDocumentation
 */

import type { AgentPeer } from "../agentPeer.ts";
import { routingPolicies } from "../routingPolicy.ts";

/** Chooses a candidate uniformly at random. */
export const randomPolicy = routingPolicies.register({
    name: "random",
    create: () => ({
        name: "random",
        choose: (candidates, { random }) => candidates[random.nextInt(0, candidates.length - 1)] as AgentPeer,
    }),
});
