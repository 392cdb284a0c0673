/**
 * Revisions of rule files. The platform numbers them, and gives out numbers again after it was restored from an
 * older copy; the operator then raises the era in the rule file. A revision holds the era above the platform's
 * number, so that plain comparisons order both.
 *
 * @packageDocumentation
 */

import { branded, type Revision } from "./brand.ts";

/** The platform's numbers are below this. */
const ERA_SIZE = 2 ** 40;
/** Largest era that a revision can hold. */
export const MAX_RULES_ERA = 8_000;

/**
 * Composes a revision.
 *
 * @param era - era in the rule file
 * @param platformRevision - the platform's number
 */
export const toRulesRevision = (era: number, platformRevision: number): Revision =>
    branded<Revision>(era * ERA_SIZE + platformRevision);

/**
 * Returns the era of a revision.
 *
 * @param revision - a revision
 */
export const eraOfRevision = (revision: number): number => Math.floor(revision / ERA_SIZE);

/**
 * Returns the platform's number of a revision.
 *
 * @param revision - a revision
 */
export const platformNumberOf = (revision: number): Revision => branded<Revision>(revision % ERA_SIZE);

/**
 * Formats a revision for operators.
 *
 * @param revision - a revision
 * @returns the platform's number, after `<era>:` unless the era is 0
 */
export const formatRevision = (revision: number): string => {
    const era = eraOfRevision(revision);
    return era === 0 ? String(revision) : `${era}:${revision % ERA_SIZE}`;
};

/**
 * Parses a revision as {@link formatRevision} writes it.
 *
 * @param text - the text
 * @returns the revision; undefined if the text is none
 */
export const parseRevision = (text: string): Revision | undefined => {
    const match = /^(?:(\d{1,4}):)?(\d{1,12})$/.exec(text);
    return match ? toRulesRevision(Number(match[1] ?? 0), Number(match[2])) : undefined;
};
