/**
 * How far an account exceeded its fair share while all accounts had requests waiting.
 *
 * @packageDocumentation
 */

import type { FleetShape } from "../fleet/fleetRules.ts";
import type { CallRecord } from "../load/callRecord.ts";

/**
 * Computes, over all accounts, the largest ratio of an account's share of the completed tokens to its share
 * of the weights.
 *
 * @param completed - requests that were answered in time while all accounts had requests waiting
 * @param shape - accounts and their weights
 * @returns the ratio; 1 when every account got exactly its share
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
