/**
 * Members of the own data centre, merged from reports. Higher incarnations count more, then the later state.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@magnolialock/kernel";
import { MEMBER_STATES, type MemberReport, type MemberState } from "../../types/member.ts";

/** What is known of one member. */
export interface MemberEntry {
    /** The newest report. */
    readonly report: MemberReport;
    /** When it entered its state, on the monotonic clock in milliseconds. */
    readonly stateSinceMs: number;
    /** Everyone who suspects it. */
    readonly accusers: ReadonlySet<InstanceId>;
}

const precedenceOf = (state: MemberState): number => MEMBER_STATES.indexOf(state);

/**
 * Tells whether a report goes before what is known.
 *
 * @param report - the report
 * @param known - the newest report so far
 * @returns true when it has a higher incarnation, or a later state of the same one
 */
export const supersedes = (report: MemberReport, known: MemberReport): boolean =>
    report.incarnation > known.incarnation
    || (report.incarnation === known.incarnation && precedenceOf(report.state) > precedenceOf(known.state));

/** All members of the own data centre except the process itself. */
export class MemberTable {
    private readonly entries = new Map<InstanceId, MemberEntry>();

    /**
     * Merges a report.
     *
     * @param report - the report
     * @param nowMs - time on the monotonic clock, in milliseconds
     * @returns whether it was news
     */
    public merge(report: MemberReport, nowMs: number): boolean {
        const known = this.entries.get(report.name);
        if (known && !supersedes(report, known.report)) {
            return this.addAccuser(known, report);
        }
        const accusers = new Set(report.accuser === undefined ? [] : [report.accuser]);
        this.entries.set(report.name, { report, stateSinceMs: nowMs, accusers });
        return true;
    }

    /**
     * Restarts the time that members have been suspects.
     *
     * @param nowMs - time on the monotonic clock, in milliseconds
     */
    public restartSuspicions(nowMs: number): void {
        for (const [name, entry] of this.entries) {
            if (entry.report.state === "suspect") {
                this.entries.set(name, { ...entry, stateSinceMs: nowMs });
            }
        }
    }

    /**
     * Forgets a member.
     *
     * @param name - its name
     */
    public forget(name: InstanceId): void {
        this.entries.delete(name);
    }

    /**
     * Finds a member.
     *
     * @param name - its name
     * @returns what is known of it
     */
    public find(name: InstanceId): MemberEntry | undefined {
        return this.entries.get(name);
    }

    /** Everything that is known. */
    public all(): MemberEntry[] {
        return [...this.entries.values()];
    }

    /** Members that answer or may answer: alive, suspect and leaving ones. */
    public reachable(): MemberReport[] {
        return this.all().map(({ report }) => report).filter(({ state }) => state !== "dead");
    }

    /** Members that count as live: alive and suspect ones. */
    public live(): MemberReport[] {
        return this.reachable().filter(({ state }) => state !== "leaving");
    }

    private addAccuser(known: MemberEntry, report: MemberReport): boolean {
        const { state, incarnation } = known.report;
        const isSameSuspicion = state === "suspect" && report.state === "suspect"
            && report.incarnation === incarnation;
        if (!isSameSuspicion || report.accuser === undefined || known.accusers.has(report.accuser)) {
            return false;
        }
        const accusers = new Set([...known.accusers, report.accuser]);
        this.entries.set(report.name, { ...known, accusers });
        return true;
    }
}
