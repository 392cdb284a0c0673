/**
 * Limit on the requests that one instance runs concurrently at the model servers of a service. Instances do
 * not coordinate. Each may always use its equal share of the slots; beyond that, it may add to its running
 * requests the same share of the slots that are idle according to the latest peer reports.
 *
 * @packageDocumentation
 */

import type { DataCentreId } from "@magnolialock/kernel";

/** Inputs of {@link concurrencyLimit}. */
export interface ConcurrencyInputs {
    /** Total slots of all servers of the service. */
    readonly slots: number;
    /** Requests that this instance runs there. */
    readonly ownRunning: number;
    /** Requests that other instances run there, according to their latest reports. */
    readonly peerRunning: number;
    /** Share of the fleet's capacity for this instance, from 0 to 1. */
    readonly share: number;
}

/**
 * Requests per slot. With exactly one request per slot, a freed slot stays empty until the next pass and
 * capacity is lost; a larger value makes requests wait at the server, where they are not prioritised.
 */
const REQUESTS_PER_SLOT = 1.1;

/**
 * Computes the limit of one instance.
 *
 * @param inputs - slots and their use
 * @returns the maximum number of requests of this instance; at least 1. The sum over all instances exceeds
 * the slots only by the requests that instances above their share were already running
 */
export const concurrencyLimit = (
    { ownRunning, peerRunning, share, slots }: ConcurrencyInputs,
): number => {
    const capacity = slots * REQUESTS_PER_SLOT;
    const idleCapacity = Math.max(0, capacity - ownRunning - peerRunning);
    return Math.max(1, Math.round(capacity * share), Math.floor(ownRunning + idleCapacity * share));
};

/**
 * Computes the share of one instance in the fleet. Each data centre has an equal share regardless of its
 * number of instances, because each has callers of its own; its instances share it equally.
 *
 * @param ownDataCentre - data centre of this instance
 * @param peerDataCentres - data centre of each other live instance
 */
export const shareOfFleet = (
    ownDataCentre: DataCentreId,
    peerDataCentres: readonly DataCentreId[],
): number => {
    const localPeers = peerDataCentres.filter(dataCentre => dataCentre === ownDataCentre).length;
    return 1 / (new Set([ownDataCentre, ...peerDataCentres]).size * (localPeers + 1));
};
