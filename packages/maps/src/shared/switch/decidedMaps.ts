/**
 * Decided activations of a group, as one member knows them.
 *
 * @packageDocumentation
 */

import { ProtocolError } from "@magnolialock/kernel";
import type { MapActivation } from "../../types/mapActivation.ts";

/** The map that steps run on now, and one that is decided for a later step. */
const KEPT_ACTIVATIONS = 2;

/**
 * Merges what several members know.
 *
 * @param lists - decided activations of each member
 * @returns the last ones, the oldest first
 * @throws ProtocolError when one epoch has two activations
 */
export const mergeDecided = (lists: readonly (readonly MapActivation[])[]): MapActivation[] => {
    const byEpoch = new Map<number, MapActivation>();
    for (const activation of lists.flat()) {
        const known = byEpoch.get(activation.epoch);
        if (known && (known.map.id !== activation.map.id || known.fromStep !== activation.fromStep)) {
            throw new ProtocolError(`epoch ${activation.epoch} has two decisions`);
        }
        byEpoch.set(activation.epoch, activation);
    }
    return [...byEpoch.values()]
        .sort((left, right) => left.epoch - right.epoch)
        .slice(-KEPT_ACTIVATIONS);
};

/**
 * Finds the map of a step.
 *
 * @param decided - decided activations, the oldest first
 * @param step - number of the step
 * @returns the last activation that begins at or before the step
 */
export const activationAt = (decided: readonly MapActivation[], step: number): MapActivation | undefined =>
    decided.findLast(({ fromStep }) => fromStep <= step);
