/**
 * How many entries share the limits, as far as this entry can tell from the agents that it watches.
 *
 * @packageDocumentation
 */

import type { EntryCount } from "./accountLimiter.ts";
import type { AgentDirectory } from "./agentDirectory.ts";

/** Counts entries by the largest number of watchers that a reachable agent reports. */
export class LiveEntryCount implements EntryCount {
    private newestCount = 1;

    /** @param agents - agents that this entry watches */
    public constructor(private readonly agents: AgentDirectory) {}

    /** {@inheritDoc EntryCount.liveEntries} */
    public get liveEntries(): number {
        const counts = this.agents.all().map(peer => peer.state?.watchingEntries ?? 0);
        const largest = Math.max(0, ...counts);
        // Without a report the last count stays: fewer entries are never assumed without evidence.
        this.newestCount = largest > 0 ? largest : this.newestCount;
        return this.newestCount;
    }
}
