/**
 * Queue of reports to disseminate. They are piggybacked on datagrams that are sent anyway.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@magnolialock/kernel";
import type { MemberReport } from "../../types/member.ts";

interface QueuedUpdate {
    readonly report: MemberReport;
    sentCount: number;
}

/** Each report is sent about `RETRANSMIT_FACTOR * log2(memberCount)` times. */
const RETRANSMIT_FACTOR = 3;

/** Holds the newest report about each member; reports that were sent least often go first. */
export class UpdateQueue {
    private readonly updates = new Map<InstanceId, QueuedUpdate>();

    /**
     * Adds a report; it replaces a queued one about the same member.
     *
     * @param report - the report
     */
    public add(report: MemberReport): void {
        this.updates.set(report.name, { report, sentCount: 0 });
    }

    /**
     * Returns the reports for the next datagram and counts them as sent.
     *
     * @param count - maximum number of reports
     * @param memberCount - number of members in the data centre
     * @returns the reports
     */
    public nextBatch(count: number, memberCount: number): MemberReport[] {
        const limit = Math.ceil(RETRANSMIT_FACTOR * Math.log2(memberCount + 2));
        const chosen = [...this.updates.values()]
            .sort((left, right) => left.sentCount - right.sentCount)
            .slice(0, count);
        for (const update of chosen) {
            update.sentCount++;
            if (update.sentCount >= limit) {
                this.updates.delete(update.report.name);
            }
        }
        return chosen.map(({ report }) => report);
    }
}
