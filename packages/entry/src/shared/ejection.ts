/**
 * Outlier ejection: excludes failing agents, but never so many that the rest would be overloaded.
 *
 * @packageDocumentation
 */

import type { AgentPeer } from "./agentPeer.ts";

/** Largest share of the candidates that may be ejected. */
const MAX_EJECTED_SHARE = 0.5;

/**
 * Removes ejected agents. Beyond the largest allowed share, those whose ejection ends first are kept.
 *
 * @param peers - candidate agents
 * @returns the remaining candidates; at least half of them
 */
export const withoutEjected = (peers: readonly AgentPeer[]): AgentPeer[] => {
    const ejected = peers
        .filter(({ health }) => health.isEjected)
        .sort((left, right) => right.health.ejectedUntilMs - left.health.ejectedUntilMs)
        .slice(0, Math.floor(peers.length * MAX_EJECTED_SHARE));
    return peers.filter(peer => !ejected.includes(peer));
};
