/**
 * How many requests one instance runs at the model servers of a service. No instance asks another: each keeps to an
 * equal share, and to its part of the places that nobody uses by the newest reports.
 *
 * @packageDocumentation
 */

import type { DataCentreId } from "@magnolialock/kernel";

/** What the limit is computed from. */
export interface ConcurrencyInputs {
    /** Places at all servers of the service together. */
    readonly slots: number;
    /** Requests of this instance that run there. */
    readonly ownRunning: number;
    /** Requests of other instances that run there, by their newest reports. */
    readonly peerRunning: number;
    /** Part of the fleet that this instance is, from 0 to 1. */
    readonly share: number;
}

/**
 * Requests for each place. Servers whose places stand empty until the next pass give away a part of their work; a larger
 * value makes requests wait there, where nobody chooses among them.
 */
const REQUESTS_PER_SLOT = 1.1;

/**
 * Computes the limit of one instance.
 *
 * @param inputs - places and who uses them
 * @returns most requests of this instance; at least 1. The sum over all instances exceeds the places only by what
 * instances above their share ran before
 */
export const concurrencyLimit = (
    { peerRunning: elsewhere, ownRunning: own, share, slots }: ConcurrencyInputs,
): number => {
    const capacity = slots * REQUESTS_PER_SLOT;
    const idleCapacity = Math.max(0, capacity - own - elsewhere);
    return Math.max(1, Math.round(capacity * share), Math.floor(own + idleCapacity * share));
};

/**
 * Computes which part of the fleet one instance is. Data centres count alike whatever the number of their instances:
 * each brings its own callers.
 *
 * @param ownDataCentre - data centre of the instance
 * @param peerDataCentres - data centres of the other instances
 */
export const shareOfFleet = (
    ownDataCentre: DataCentreId,
    peerDataCentres: readonly DataCentreId[],
): number => {
    const localPeers = peerDataCentres.filter(dataCentre => dataCentre === ownDataCentre).length;
    return 1 / (new Set([ownDataCentre, ...peerDataCentres]).size * (localPeers + 1));
};
