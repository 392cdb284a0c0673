/**
 * Table of the members of the own data centre, merged from reports. The higher incarnation wins; for equal
 * incarnations, the state of higher precedence.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@magnolialock/kernel";
import { MEMBER_STATES, type MemberReport, type MemberState } from "../../types/member.ts";

/** Current knowledge about one member. */
export interface MemberEntry {
    /** Newest report about the member. */
    readonly report: MemberReport;
    /** Time at which the member entered its state, on the monotonic clock in milliseconds. */
    readonly stateSinceMs: number;
    /** All processes that suspect the member. */
    readonly accusers: ReadonlySet<InstanceId>;
}

const precedenceOf = (state: MemberState): number => MEMBER_STATES.indexOf(state);

/**
 * Tells whether a report replaces the known one.
 *
 * @param report - the report
 * @param known - the report held so far
 * @returns true if it has a higher incarnation, or the same one and a state of higher precedence
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
     * @returns whether the report added information
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
     * Restarts the suspicion timeouts of all suspects.
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
     * Deletes a member from the table.
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
     * @returns its entry, if any
     */
    public find(name: InstanceId): MemberEntry | undefined {
        return this.entries.get(name);
    }

    /** Entries of all members, dead ones included. */
    public all(): MemberEntry[] {
        return [...this.entries.values()];
    }

    /** Members that may still answer: those in state alive, suspect or leaving. */
    public reachable(): MemberReport[] {
        return this.all().map(({ report }) => report).filter(({ state }) => state !== "dead");
    }

    /** Members that count as live: those in state alive or suspect. */
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
