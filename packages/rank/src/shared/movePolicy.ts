/**
 * When a change of map pays.
 *
 * It answers two loads. In a quiet group passes are short whatever the map, and copies only cost; in a busy one each
 * tenth of skew makes streams late.
 *
 * @packageDocumentation
 */

import type { PlacementPlan } from "./improvePlacement.ts";

/** Pass time from which a group counts as busy, in milliseconds: at 120 ms streams are late, and a change takes half a second. */
const BUSY_PASS_MS = 70;
/** What is assumed before a pass was seen: streams that are late cost more than copies. */
const UNKNOWN_PASS_MS = Number.POSITIVE_INFINITY;
/** Skew that is left alone in a busy group; below it copies would follow chance. */
const BUSY_SKEW = 1.25;
/** Skew that is left alone in a quiet group; more would make the next burst late before a change is done. */
const QUIET_SKEW = 2.2;
/**
 * Excess of the fullest rank over the mean that a plan leaves, by the time of a pass: the last copies cost most and save
 * least, and short passes are in time on an uneven map, too.
 */
const TOLERANCES = [
    { fromPassMs: 90, tolerance: 0.15 },
    { fromPassMs: BUSY_PASS_MS, tolerance: 0.3 },
    { fromPassMs: 0, tolerance: 0.6 },
] as const;
/** Skew that a plan must save at least: a change takes the attention of all ranks. */
const LEAST_SAVING = 0.1;
/** Skew that a plan must save for each millisecond of copying, since copies have a price and slow passes down. */
const SAVING_PER_COPY_MS = 5.6e-5;

/**
 * Tells whether a plan should be made.
 *
 * @param skew - load of the fullest ranks over the mean
 * @param passMs - mean time of a pass, in milliseconds; undefined before the first
 */
export const isUneven = (skew: number, passMs = UNKNOWN_PASS_MS): boolean =>
    skew >= (passMs >= BUSY_PASS_MS ? BUSY_SKEW : QUIET_SKEW);

/**
 * Tells how uneven a plan may leave the ranks.
 *
 * @param passMs - mean time of a pass, in milliseconds; undefined before the first
 * @returns excess of the fullest rank over the mean
 */
export const toleranceFor = (passMs = UNKNOWN_PASS_MS): number =>
    TOLERANCES.find(({ fromPassMs }) => passMs >= fromPassMs)?.tolerance ?? 0;

/**
 * Tells whether a plan pays for its copies.
 *
 * @param plan - the plan
 * @param copyMs - time that a rank takes to copy one expert, in milliseconds
 */
export const isWorthCopies = (
    plan: Pick<PlacementPlan, "copies" | "skewAfter" | "skewBefore">,
    copyMs: number,
): boolean => plan.skewBefore - plan.skewAfter >= LEAST_SAVING + plan.copies * copyMs * SAVING_PER_COPY_MS;
