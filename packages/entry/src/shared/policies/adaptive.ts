/**
 * Default policy `adaptive`: selects one replica in the local data centre and one in all remote ones, and
 * takes the cheaper of the two; the local one wins a tie. Within each group it prefers the replica to which
 * the prefix hashes while that one has capacity, and otherwise the least loaded replica of a random sample.
 *
 * @packageDocumentation
 */

import { rendezvousOrder, shuffled } from "@magnolialock/kernel";
import type { AgentPeer } from "../agentPeer.ts";
import { withoutEjected } from "../ejection.ts";
import { costMsOf, loadOf } from "../peerCost.ts";
import { type RoutingContext, routingPolicies } from "../routingPolicy.ts";

/** A replica loaded above this multiple of the mean passes its prefixes to the next one in hash order. */
const LOAD_BOUND_FACTOR = 1.25;
/** Share of the agents that is sampled: not all, so that entries do not all choose the same agent. */
const SAMPLE_SHARE = 0.5;
const MIN_SAMPLE_SIZE = 2;

const leastLoaded = (peers: readonly AgentPeer[]): AgentPeer =>
    peers.reduce((best, peer) => loadOf(peer) < loadOf(best) ? peer : best);

const meanLoad = (peers: readonly AgentPeer[]): number =>
    peers.reduce((sum, peer) => sum + loadOf(peer), 0) / peers.length;

/** Rendezvous hashing with bounded loads: the first replica in the prefix's order within the load bound. */
const choosePrefixReplica = (peers: readonly AgentPeer[], prefixKey: string): AgentPeer | undefined => {
    const bound = Math.min(1, LOAD_BOUND_FACTOR * meanLoad(peers));
    const order = rendezvousOrder(prefixKey, peers, ({ rule }) => rule.name);
    return order.find(peer => loadOf(peer) <= bound);
};

const leastLoadedOfSample = (peers: readonly AgentPeer[], { random }: RoutingContext): AgentPeer => {
    const count = Math.max(MIN_SAMPLE_SIZE, Math.ceil(peers.length * SAMPLE_SHARE));
    return leastLoaded(shuffled(random, peers).slice(0, count));
};

const chooseAmong = (peers: readonly AgentPeer[], context: RoutingContext): AgentPeer => {
    const byPrefix = context.prefixKey === "" ? undefined : choosePrefixReplica(peers, context.prefixKey);
    return byPrefix ?? leastLoadedOfSample(peers, context);
};

/**
 * Selects the healthy agents whose fresh state shows that they accept requests; if there are none, all agents
 * with such a state; failing that, all candidates that the configuration allows.
 */
const usablePeers = (candidates: readonly AgentPeer[]): readonly AgentPeer[] => {
    const fresh = candidates.filter(({ state }) => state && state.limit > 0);
    const healthy = withoutEjected(fresh).filter(({ health }) => !health.isSuspect);
    const tiers = [healthy, fresh, candidates];
    return tiers.find(tier => tier.length > 0) ?? candidates;
};

/** Spills over to another data centre when round trip, queueing and prefill cost less there. */
export const adaptivePolicy = routingPolicies.register({
    name: "adaptive",
    create: () => ({
        name: "adaptive",
        choose: (candidates, context) => {
            const usable = usablePeers(candidates);
            const isLocal = ({ rule }: AgentPeer): boolean => rule.dataCentre === context.dataCentre;
            const choices = [usable.filter(isLocal), usable.filter(peer => !isLocal(peer))]
                .filter(peers => peers.length > 0)
                .map(peers => chooseAmong(peers, context));
            return choices.reduce((best, peer) =>
                costMsOf(peer, context) < costMsOf(best, context) ? peer : best
            );
        },
    }),
});
