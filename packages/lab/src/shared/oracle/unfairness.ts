/**
 * How far an account got more than its share while all accounts waited.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import type { CallRecord } from "../load/callRecord.ts";

/**
 * Computes the largest share of an account in the completed tokens over the share of its weight.
 *
 * @param completed - requests that were answered in time while all accounts waited
 * @param shape - accounts and their weights
 * @returns 1 when all accounts got exactly their shares
 */
export const unfairnessMax = (completed: readonly CallRecord[], shape: FleetShape): number => {
    const totalWeight = shape.accounts.reduce((sum, { weight }) => sum + weight, 0);
    const totalTokens = completed.reduce((sum, { tokens }) => sum + tokens, 0);
    const ratios = shape.accounts.map(({ name, weight }) => {
        const tokens = completed
            .filter(({ account }) => account === name)
            .reduce((sum, record) => sum + record.tokens, 0);
        return totalTokens === 0 ? 0 : tokens / totalTokens / (weight / totalWeight);
    });
    return Math.max(...ratios);
};
