/**
 * Expert maps of groups of ranks: popularity estimates, placement, policies that decide on changes, and the
 * map switch.
 *
 * @packageDocumentation
 */

export * from "./shared/encodeMap.ts";
export * from "./shared/mapsEvents.ts";
export * from "./shared/placement/balanceShares.ts";
export * from "./shared/placement/copyCounts.ts";
export * from "./shared/placement/improveMap.ts";
export * from "./shared/placement/layerMoves.ts";
export * from "./shared/placement/layerView.ts";
export * from "./shared/placement/mapCost.ts";
export * from "./shared/placement/planMap.ts";
export * from "./shared/policy/costAwarePolicy.ts";
export * from "./shared/popularity.ts";
export * from "./shared/slowRankDetector.ts";
export * from "./shared/switch/decidedMaps.ts";
export * from "./shared/switch/groupTask.ts";
export * from "./shared/switch/mapMember.ts";
export * from "./shared/switch/mapRound.ts";
export * from "./shared/switch/mapService.ts";
export * from "./shared/switch/memberCodec.ts";
export * from "./shared/switch/memberReply.ts";
export * from "./shared/switch/remoteMember.ts";
export * from "./types/expertMap.ts";
export * from "./types/mapActivation.ts";
export * from "./types/mapPolicy.ts";
export * from "./types/rankEngine.ts";
