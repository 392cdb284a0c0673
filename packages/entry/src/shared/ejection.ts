/**
 * Leaves out agents that fail in a row, but never so many that the others cannot carry the load.
 *
 * @packageDocumentation
 */

import type { AgentPeer } from "./agentPeer.ts";

/** Largest share of the candidates that may be left out. */
const MAX_EJECTED_SHARE = 0.5;

/**
 * Leaves ejected agents out. Above the largest share, those whose ejection ends first stay in.
 *
 * @param peers - candidates
 * @returns the candidates that remain; at least half of them
 */
export const withoutEjected = (peers: readonly AgentPeer[]): AgentPeer[] => {
    const ejected = peers
        .filter(({ health }) => health.isEjected)
        .sort((left, right) => right.health.ejectedUntilMs - left.health.ejectedUntilMs)
        .slice(0, Math.floor(peers.length * MAX_EJECTED_SHARE));
    return peers.filter(peer => !ejected.includes(peer));
};
