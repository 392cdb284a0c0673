/**
 * Functions on the decided activations that a member knows.
 *
 * @packageDocumentation
 */

import { ProtocolError } from "@magnolialock/kernel";
import type { MapActivation } from "../../types/mapActivation.ts";

/** Number of activations kept: the one in force, and one that is decided for a later step. */
const KEPT_ACTIVATIONS = 2;

/**
 * Merges the decided activations that several members know.
 *
 * @param lists - decided activations of each member
 * @returns the latest ones, the oldest first
 * @throws ProtocolError when two different activations have the same epoch
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
 * Finds the activation that is in force at a step.
 *
 * @param decided - decided activations, the oldest first
 * @param step - number of the step
 * @returns the last activation that begins at or before the step
 */
export const activationAt = (decided: readonly MapActivation[], step: number): MapActivation | undefined =>
    decided.findLast(({ fromStep }) => fromStep <= step);
