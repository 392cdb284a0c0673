/**
 * What it costs to send a request to an agent, in milliseconds.
 *
 * @packageDocumentation
 */

import type { AgentPeer } from "./agentPeer.ts";
import type { RoutingContext } from "./routingPolicy.ts";

/** Load up to which a request is expected to start at once. */
const FREE_LOAD = 0.9;
/** How much longer a cold server takes. */
const COLD_SLOWDOWN = 4;
/** Time of a request for the queue's length where none was reported, in milliseconds. */
const DEFAULT_LATENCY_MS = 50;
/** Round trips before one was measured, in milliseconds. */
const DEFAULT_LOCAL_ROUND_TRIP_MS = 0.5;
const DEFAULT_REMOTE_ROUND_TRIP_MS = 3;
/** What it costs to depend on the link between two data centres, in milliseconds. */
const REMOTE_PENALTY_MS = 5;
/** Bytes of a prompt that an engine computes in a millisecond. */
const PREFILL_BYTES_PER_MS = 40;

/**
 * Computes the load of an agent.
 *
 * @param peer - the agent
 * @returns calls there over what it should get now
 */
export const loadOf = (peer: AgentPeer): number => {
    const limit = peer.state?.limit ?? peer.rule.coldLimit;
    // What waits before a cold server takes longer than the same share of a warm one's limit.
    const slowdown = peer.isColdAndFull ? COLD_SLOWDOWN : 1;
    return slowdown * (peer.estimatedCalls + 1) / Math.max(1, limit * peer.rampShare);
};

const queueMsOf = (peer: AgentPeer): number => {
    const excess = Math.max(0, loadOf(peer) - FREE_LOAD);
    return excess * Math.max(DEFAULT_LATENCY_MS, peer.state?.latencyMs ?? 0);
};

const wayMsOf = (peer: AgentPeer, { dataCentre }: RoutingContext): number =>
    peer.rule.dataCentre === dataCentre
        ? peer.roundTripMs ?? DEFAULT_LOCAL_ROUND_TRIP_MS
        : (peer.roundTripMs ?? DEFAULT_REMOTE_ROUND_TRIP_MS) + REMOTE_PENALTY_MS;

const prefillMsOf = (peer: AgentPeer, { prefixKey, bodyBytes }: RoutingContext): number =>
    prefixKey === "" || peer.hasPrefix(prefixKey) ? 0 : bodyBytes / PREFILL_BYTES_PER_MS;

/**
 * Estimates the time until an agent would have done what another replica may have done already.
 *
 * @param peer - the agent
 * @param context - where the entry stands and what the request is
 * @returns way, queue and prefix that must be computed again, in milliseconds
 */
export const costMsOf = (peer: AgentPeer, context: RoutingContext): number =>
    wayMsOf(peer, context) + queueMsOf(peer) + prefillMsOf(peer, context);
