/**
 * Order of ballots, hashes and versions of maps, and the choice of the rank that holds a pass.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";
import type { Ballot } from "../types/rankMessages.ts";
import type { ExpertPlacement, MapVersion } from "../types/rankServer.ts";

/** Ballot lower than that of every round. */
export const NO_BALLOT: Ballot = { number: 0, rank: -1 };

/**
 * Compares two ballots.
 *
 * @param left - one ballot
 * @param right - the other
 * @returns negative, zero or positive, as for a sort
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

/**
 * Distance between two versions of one leader; larger than the largest group, so that each rank has its own
 * versions.
 */
const VERSION_STRIDE = 1_024;

/**
 * Chooses the version of the leader's next map. Leaders of different ranks never choose the same version.
 *
 * @param highest - highest version that any rank knows
 * @param leaderRank - rank of the leader
 */
export const nextVersion = (highest: number, leaderRank: number): MapVersion =>
    (Math.floor(highest / VERSION_STRIDE) + 1) * VERSION_STRIDE + leaderRank as MapVersion;

/**
 * Chooses the rank at which a leader holds a pass: a rank other than its own, since the leader's machine may
 * be suspended while it sends the order.
 *
 * @param leaderRank - rank of the leader
 * @param size - number of ranks
 */
export const holderFor = (leaderRank: number, size: number): number => (leaderRank + 1) % size;

/**
 * Finds the rank that holds the first pass of a map.
 *
 * @param version - version of the map
 * @param size - number of ranks
 * @returns rank that holds the pass
 */
export const holderForVersion = (version: MapVersion, size: number): number =>
    holderFor(version % VERSION_STRIDE, size);
