/**
 * Default policy `adaptive`: own data centre first, the prefix's replica while it has room, else the less loaded of
 * some, and another data centre when it costs less.
 *
 * @packageDocumentation
 */

import { rendezvousOrder, shuffled } from "@magnolialock/kernel";
import type { AgentPeer } from "../agentPeer.ts";
import { withoutEjected } from "../ejection.ts";
import { costMsOf, loadOf } from "../peerCost.ts";
import { type RoutingContext, routingPolicies } from "../routingPolicy.ts";

/** A replica that is this much above the mean load gives its prefixes to the next one. */
const LOAD_BOUND = 1.25;
/** Agents that are compared: not all, so that entries do not rush to the same one. */
const COMPARED_SHARE = 0.5;
const LEAST_COMPARED = 2;

const leastLoaded = (peers: readonly AgentPeer[]): AgentPeer =>
    peers.reduce((best, peer) => loadOf(peer) < loadOf(best) ? peer : best);

const meanLoad = (peers: readonly AgentPeer[]): number =>
    peers.reduce((sum, peer) => sum + loadOf(peer), 0) / peers.length;

/** Bounded-load rendezvous hashing: the first replica in the prefix's order that is not above the bound. */
const choosePrefixReplica = (peers: readonly AgentPeer[], prefixKey: string): AgentPeer | undefined => {
    const bound = Math.min(1, LOAD_BOUND * meanLoad(peers));
    const order = rendezvousOrder(prefixKey, peers, ({ rule }) => rule.name);
    return order.find(peer => loadOf(peer) <= bound);
};

const chooseSomeLeastLoaded = (peers: readonly AgentPeer[], { random }: RoutingContext): AgentPeer => {
    const count = Math.max(LEAST_COMPARED, Math.ceil(peers.length * COMPARED_SHARE));
    return leastLoaded(shuffled(random, peers).slice(0, count));
};

const chooseAmong = (peers: readonly AgentPeer[], context: RoutingContext): AgentPeer => {
    const byPrefix = context.prefixKey === "" ? undefined : choosePrefixReplica(peers, context.prefixKey);
    return byPrefix ?? chooseSomeLeastLoaded(peers, context);
};

/** Agents with fresh evidence that they take work; without any, all that the configuration allows. */
const usablePeers = (candidates: readonly AgentPeer[]): readonly AgentPeer[] => {
    const fresh = candidates.filter(({ state }) => state && state.limit > 0);
    const steady = withoutEjected(fresh).filter(({ health }) => !health.isSuspect);
    const tiers = [steady, fresh, candidates];
    return tiers.find(tier => tier.length > 0) ?? candidates;
};

/** Spills to another data centre when way, queue and prefix cost less there. */
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
