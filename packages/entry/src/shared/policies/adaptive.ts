/**
 * Default policy `adaptive`: own data centre first, then the least loaded by report and own calls.
 *
 * @packageDocumentation
 */

import { shuffled } from "@magnolialock/kernel";
import type { AgentPeer } from "../agentPeer.ts";
import { routingPolicies } from "../routingPolicy.ts";

/** Share of the limit that is in use, by the larger of report and own count. */
const loadOf = (peer: AgentPeer): number => {
    const { state } = peer;
    const limit = Math.max(1, state?.limit ?? peer.rule.coldLimit);
    const reported = state ? state.running + state.queued : 0;
    return Math.max(reported, peer.ownRunning) / limit;
};

const leastLoaded = (peers: readonly AgentPeer[]): AgentPeer =>
    peers.reduce((best, peer) => loadOf(peer) < loadOf(best) ? peer : best);

/** Spills to another data centre only when all agents of the own one are full. */
export const adaptivePolicy = routingPolicies.register({
    name: "adaptive",
    create: () => ({
        name: "adaptive",
        choose: (candidates, { dataCentre, random }) => {
            const fresh = candidates.filter(peer => peer.state && !peer.state.isDraining);
            const usable = shuffled(random, fresh.length > 0 ? fresh : candidates);
            const local = usable.filter(peer => peer.rule.dataCentre === dataCentre && loadOf(peer) < 1);
            return leastLoaded(local.length > 0 ? local : usable);
        },
    }),
});
