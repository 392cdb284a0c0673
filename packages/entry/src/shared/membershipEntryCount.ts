/**
 * How many entries share the limits, by the membership that all processes keep.
 *
 * @packageDocumentation
 */

import type { Membership } from "@magnolialock/control";
import type { EntryCount } from "./accountLimiter.ts";

/** Counts live entries; those of a data centre that is cut off count as last heard, so that no side takes their share. */
export class MembershipEntryCount implements EntryCount {
    /** @param membership - view of the fleet */
    public constructor(private readonly membership: Pick<Membership, "liveCount">) {}

    /** {@inheritDoc EntryCount.liveEntries} */
    public get liveEntries(): number {
        return Math.max(1, this.membership.liveCount("entry"));
    }
}
