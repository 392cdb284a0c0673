/**
 * Cost model of routing: the estimated cost of sending a request to an agent, in milliseconds.
 *
 * @packageDocumentation
 */

import type { AgentPeer } from "./agentPeer.ts";
import type { RoutingContext } from "./routingPolicy.ts";

/** Load up to which a request is expected to start without queueing. */
const NO_QUEUE_LOAD = 0.9;
/** Factor by which a cold server is slower than a warm one. */
const COLD_SLOWDOWN = 4;
/** Lower bound of the request latency in the queueing estimate, in milliseconds; used if none is reported. */
const DEFAULT_LATENCY_MS = 50;
/** Round-trip times assumed before the first sample, in milliseconds. */
const DEFAULT_LOCAL_ROUND_TRIP_MS = 0.5;
const DEFAULT_REMOTE_ROUND_TRIP_MS = 3;
/** Penalty for depending on the link between two data centres, in milliseconds. */
const REMOTE_PENALTY_MS = 5;
/** Prefill rate of an engine, in bytes of prompt per millisecond. */
const PREFILL_BYTES_PER_MS = 40;

/**
 * Estimates the load of an agent if it were sent one more call.
 *
 * @param peer - the agent
 * @returns calls at the agent, including the new one, divided by its limit scaled by slow start
 */
export const loadOf = (peer: AgentPeer): number => {
    const limit = peer.state?.limit ?? peer.rule.coldLimit;
    // The queue of a full cold server drains more slowly than that of a warm server at the same load.
    const slowdown = peer.isColdAndFull ? COLD_SLOWDOWN : 1;
    return slowdown * (peer.estimatedCalls + 1) / Math.max(1, limit * peer.slowStartShare);
};

const queueingMsOf = (peer: AgentPeer): number => {
    const excessLoad = Math.max(0, loadOf(peer) - NO_QUEUE_LOAD);
    return excessLoad * Math.max(DEFAULT_LATENCY_MS, peer.state?.latencyMs ?? 0);
};

const roundTripMsOf = (peer: AgentPeer, { dataCentre }: RoutingContext): number =>
    peer.rule.dataCentre === dataCentre
        ? peer.roundTripMs ?? DEFAULT_LOCAL_ROUND_TRIP_MS
        : (peer.roundTripMs ?? DEFAULT_REMOTE_ROUND_TRIP_MS) + REMOTE_PENALTY_MS;

const prefillMsOf = (peer: AgentPeer, { prefixKey, bodyBytes }: RoutingContext): number =>
    prefixKey === "" || peer.hasPrefix(prefixKey) ? 0 : bodyBytes / PREFILL_BYTES_PER_MS;

/**
 * Estimates the overhead of serving a request at an agent, so that replicas can be compared.
 *
 * @param peer - the agent
 * @param context - data centre of the entry and properties of the request
 * @returns round trip, queueing and prefill of an uncached prefix, in milliseconds
 */
export const costMsOf = (peer: AgentPeer, context: RoutingContext): number =>
    roundTripMsOf(peer, context) + queueingMsOf(peer) + prefillMsOf(peer, context);
