/**
 * Number of entries that share the rate limits, derived from the reports of the watched agents.
 *
 * @packageDocumentation
 */

import type { EntryCount } from "./accountLimiter.ts";
import type { AgentDirectory } from "./agentDirectory.ts";

/** Takes the largest number of watching entries that any reachable agent reports. */
export class ReportedEntryCount implements EntryCount {
    private lastCount = 1;

    /** @param agents - directory of the watched agents */
    public constructor(private readonly agents: AgentDirectory) {}

    /** {@inheritDoc EntryCount.liveEntries} */
    public get liveEntries(): number {
        const counts = this.agents.all().map(peer => peer.state?.watchingEntries ?? 0);
        const largest = Math.max(0, ...counts);
        // Without a report, the last count is kept: a smaller number is never assumed without evidence.
        this.lastCount = largest > 0 ? largest : this.lastCount;
        return this.lastCount;
    }
}
