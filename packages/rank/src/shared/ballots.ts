/**
 * Order of ballots, and hashes of maps.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";
import type { Ballot } from "../types/rankMessages.ts";
import type { ExpertPlacement, MapVersion } from "../types/rankServer.ts";

/** Lower than every ballot of a round. */
export const NO_BALLOT: Ballot = { number: 0, rank: -1 };

/**
 * Orders two ballots.
 *
 * @param left - one ballot
 * @param right - the other
 * @returns negative, zero or positive
 */
export const compareBallots = (left: Ballot, right: Ballot): number =>
    left.number - right.number || left.rank - right.rank;

/**
 * Hashes the content of a map.
 *
 * @param placement - the map
 */
export const hashPlacement = (placement: ExpertPlacement): string =>
    createHash("sha256").update(JSON.stringify(placement)).digest("base64url");

/** Versions between two of one leader; more than the ranks of the largest group, so that each has its own. */
const VERSION_STRIDE = 1_024;

/**
 * Numbers the next map of a leader. Two leaders never give the same number.
 *
 * @param highest - highest version that any rank knows
 * @param leaderRank - rank of the leader
 */
export const nextVersion = (highest: number, leaderRank: number): MapVersion =>
    (Math.floor(highest / VERSION_STRIDE) + 1) * VERSION_STRIDE + leaderRank as MapVersion;

/**
 * Tells who numbered a map.
 *
 * @param version - number of the map
 * @returns rank of the leader
 */
export const leaderOfVersion = (version: MapVersion): number => version % VERSION_STRIDE;
