/**
 * Order of the writes to the platform's store. A store that returns from an older copy gives out revisions again,
 * so the era comes before the revision.
 *
 * @packageDocumentation
 */

import { branded, type Revision, type StoreEra } from "@magnolialock/kernel";
import type { StateVersion } from "../types/publishedState.ts";

/** Before the first write; also the era of a store that names none. */
export const NO_ERA = branded<StoreEra>(0);
/** Version before anything is known. */
export const NO_VERSION: StateVersion = { era: NO_ERA, revision: branded<Revision>(0) };

/**
 * Compares two versions.
 *
 * @param left - a version
 * @param right - another version
 * @returns negative if the left one is older, positive if it is newer, 0 if they are equal
 */
export const compareVersions = (left: StateVersion, right: StateVersion): number =>
    left.era - right.era || left.revision - right.revision;
