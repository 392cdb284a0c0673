/**
 * Expert maps of groups of ranks: popularity, placement, when to move, and the map switch.
 *
 * @packageDocumentation
 */

export * from "./shared/placement/balanceShares.ts";
export * from "./shared/placement/copyCounts.ts";
export * from "./shared/placement/improveMap.ts";
export * from "./shared/placement/layerMoves.ts";
export * from "./shared/placement/layerView.ts";
export * from "./shared/placement/mapCost.ts";
export * from "./shared/placement/planMap.ts";
export * from "./shared/policy/costAwarePolicy.ts";
export * from "./shared/popularity.ts";
export * from "./types/expertMap.ts";
export * from "./types/mapPolicy.ts";
