/**
 * Reports that still have to spread. They ride on datagrams that are sent anyway.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@magnolialock/kernel";
import type { MemberReport } from "../../types/member.ts";

interface QueuedUpdate {
    readonly report: MemberReport;
    sentCount: number;
}

/** Each report is sent this often, times the logarithm of the number of members. */
const RETRANSMIT_FACTOR = 3;

/** Newest report about each member, the least sent first. */
export class UpdateQueue {
    private readonly updates = new Map<InstanceId, QueuedUpdate>();

    /**
     * Adds a report; an older one about the same member is dropped.
     *
     * @param report - the report
     */
    public add(report: MemberReport): void {
        this.updates.set(report.name, { report, sentCount: 0 });
    }

    /**
     * Takes reports for one datagram.
     *
     * @param count - how many at most
     * @param memberCount - size of the data centre
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
