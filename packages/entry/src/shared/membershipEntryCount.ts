/**
 * Number of entries that share the rate limits, derived from the cluster membership.
 *
 * @packageDocumentation
 */

import type { Membership } from "@magnolialock/control";
import type { EntryCount } from "./accountLimiter.ts";

/**
 * Counts the live entries. Entries of a data centre that is cut off keep their last known state, so that
 * neither side of the partition takes over the other's share.
 */
export class MembershipEntryCount implements EntryCount {
    /** @param membership - this process's view of the cluster membership */
    public constructor(private readonly membership: Pick<Membership, "liveCount">) {}

    /** {@inheritDoc EntryCount.liveEntries} */
    public get liveEntries(): number {
        return Math.max(1, this.membership.liveCount("entry"));
    }
}
