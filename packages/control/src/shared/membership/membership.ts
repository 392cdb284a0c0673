/**
 * Fleet membership: every member of the own data centre, and a summary of each other data centre.
 *
 * @packageDocumentation
 */

import type { Clock, DataCentreId, EventLog, RandomSource } from "@magnolialock/kernel";
import type { DataCentreSummary, MemberIdentity, MemberReport, MemberRole } from "../../types/member.ts";
import type { ListedInstance } from "../../types/platform.ts";
import { memberChanged, suspicionRefuted } from "../controlEvents.ts";
import { MemberTable, supersedes } from "./memberTable.ts";
import { randomSample } from "./randomSample.ts";
import { UpdateQueue } from "./updateQueue.ts";

/** Options of {@link Membership}. */
export interface MembershipOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Event log of the process. */
    readonly events: EventLog;
    /** The process itself. */
    readonly self: MemberIdentity;
}

/** Number of contacts in a summary. */
const CONTACTS_PER_SUMMARY = 3;
/** Time after which a member that two or more processes suspect is declared dead, in milliseconds. */
const CONFIRMED_SUSPICION_TIMEOUT_MS = 3_000;
/** Time after which a member that only one process suspects is declared dead, in milliseconds. */
const UNCONFIRMED_SUSPICION_TIMEOUT_MS = 10_000;
/** Time after which a dead member is deleted from the table, in milliseconds. */
const DEAD_MEMBER_RETENTION_MS = 600_000;

/** One process's view of the fleet, merged from its own probes and the reports of peers. */
export class Membership {
    /** Reports that are still to be disseminated. */
    public readonly updates = new UpdateQueue();
    /** The process itself. */
    public readonly self: MemberIdentity;
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly events: EventLog;
    private readonly table = new MemberTable();
    private readonly summaries = new Map<DataCentreId, DataCentreSummary>();
    private readonly listeners = new Set<() => void>();
    private listedInstances: ReadonlyMap<DataCentreId, readonly ListedInstance[]> = new Map();
    private ownReport: MemberReport;

    /** @param options - clock, random source, event log and identity */
    public constructor(options: MembershipOptions) {
        this.clock = options.clock;
        this.random = options.random;
        this.events = options.events;
        this.self = options.self;
        this.ownReport = {
            ...options.self,
            incarnation: Math.floor(options.clock.wallMs()),
            state: "alive",
        };
        this.updates.add(this.selfReport);
    }

    /** This process's report about itself. */
    public get selfReport(): MemberReport {
        return this.ownReport;
    }

    /** Members of the own data centre, the process itself first. */
    public get members(): readonly MemberReport[] {
        return [this.selfReport, ...this.table.all().map(({ report }) => report)];
    }

    /** Newest summary of each other data centre. */
    public get otherDataCentres(): readonly DataCentreSummary[] {
        return [...this.summaries.values()];
    }

    /**
     * Counts live processes. A data centre that is unreachable keeps its last reported count; one without a
     * summary counts by the platform's list.
     *
     * @param role - role of the processes
     * @param dataCentre - data centre to count in; the whole fleet if undefined
     * @returns number of live processes, this one included unless it is leaving
     */
    public liveCount(role: MemberRole, dataCentre?: DataCentreId): number {
        const countOf = (summary: DataCentreSummary): number =>
            role === "entry" ? summary.entryCount : summary.agentCount;
        const own = countOf(this.summarizeOwnDataCentre());
        if (dataCentre === this.self.dataCentre) {
            return own;
        }
        if (dataCentre !== undefined) {
            const summary = this.summaries.get(dataCentre);
            return summary ? countOf(summary) : this.countListedInstances(role, dataCentre);
        }
        return this.otherDataCentreNames()
            .reduce((total, name) => total + this.liveCount(role, name), own);
    }

    /** Live members of the own data centre; includes the process itself unless it is leaving. */
    public liveMembers(): MemberReport[] {
        const others = this.table.live();
        return this.ownReport.state === "alive" ? [this.selfReport, ...others] : others;
    }

    /** Other members of the own data centre that may still answer. */
    public reachablePeers(): MemberReport[] {
        return this.table.reachable();
    }

    /** Members declared dead; they may have come back since. */
    public deadPeers(): MemberReport[] {
        return this.table.all().map(({ report }) => report).filter(({ state }) => state === "dead");
    }

    /** All known data centres, including the own one. */
    public knownDataCentres(): DataCentreId[] {
        return [...new Set([this.self.dataCentre, ...this.summaries.keys(), ...this.listedInstances.keys()])];
    }

    /** All known data centres except the own one. */
    public otherDataCentreNames(): DataCentreId[] {
        return this.knownDataCentres().filter(name => name !== this.self.dataCentre);
    }

    /**
     * Picks random contacts in another data centre.
     *
     * @param dataCentre - the data centre
     * @param count - maximum number
     * @returns contacts from the data centre's summary; from the platform's list if there is no summary or
     * it has none
     */
    public sampleContacts(dataCentre: DataCentreId, count = 1): MemberIdentity[] {
        const contacts = this.summaries.get(dataCentre)?.contacts ?? [];
        const pool = contacts.length > 0 ? contacts : this.listedInstances.get(dataCentre) ?? [];
        return randomSample(this.random, pool, count);
    }

    /**
     * Picks random processes of another data centre from the platform's list.
     *
     * @param dataCentre - the data centre
     * @param count - maximum number
     * @returns listed processes, whether live or not
     */
    public sampleListed(dataCentre: DataCentreId, count: number): MemberIdentity[] {
        return randomSample(this.random, this.listedInstances.get(dataCentre) ?? [], count);
    }

    /** Creates a summary of the own data centre, with newly sampled contacts on each call. */
    public summarizeOwnDataCentre(): DataCentreSummary {
        const live = this.liveMembers();
        return {
            dataCentre: this.self.dataCentre,
            createdAtMs: this.clock.nowMs(),
            entryCount: live.filter(({ role }) => role === "entry").length,
            agentCount: live.filter(({ role }) => role === "agent").length,
            contacts: randomSample(this.random, live, CONTACTS_PER_SUMMARY),
        };
    }

    /**
     * Applies a report from a peer. A report about this process that supersedes its own is refuted; reports
     * about other data centres are ignored.
     *
     * @param report - report about any process
     */
    public applyReport(report: MemberReport): void {
        if (report.name === this.self.name) {
            this.refute(report);
            return;
        }
        if (report.dataCentre !== this.self.dataCentre) {
            return;
        }
        const before = this.table.find(report.name)?.report.state;
        if (!this.table.merge(report, this.clock.nowMs())) {
            return;
        }
        this.updates.add(report);
        if (before !== report.state) {
            this.events.emit(memberChanged, {
                member: report.name,
                state: report.state,
                before: before ?? "unknown",
            });
            this.notify();
        }
    }

    /**
     * Applies a sender's report about itself. If the sender is recorded here as suspect or dead, that report
     * is queued again, so that the sender learns of it from a later datagram and can refute it.
     *
     * @param sender - report of the process that sent a datagram
     */
    public applySenderReport(sender: MemberReport): void {
        this.applyReport(sender);
        const known = this.table.find(sender.name)?.report;
        if (known?.state === "dead" || known?.state === "suspect") {
            this.updates.add(known);
        }
    }

    /**
     * Applies a summary of another data centre; older ones are ignored.
     *
     * @param summary - the summary
     */
    public applySummary(summary: DataCentreSummary): void {
        const known = this.summaries.get(summary.dataCentre);
        const shouldApply = summary.dataCentre !== this.self.dataCentre
            && (known === undefined || summary.createdAtMs > known.createdAtMs);
        if (shouldApply) {
            this.summaries.set(summary.dataCentre, summary);
        }
    }

    /**
     * Applies the platform's instance list. The list adds members and marks them as leaving; it never removes
     * a member that answers.
     *
     * @param instances - the instance list
     */
    public applyInstanceList(instances: readonly ListedInstance[]): void {
        const others = instances.filter(({ name }) => name !== this.self.name);
        const listed = new Map<DataCentreId, ListedInstance[]>();
        for (const instance of others) {
            listed.set(instance.dataCentre, [...(listed.get(instance.dataCentre) ?? []), instance]);
        }
        this.listedInstances = listed;
        for (const { name, role, dataCentre, address, isLeaving } of listed.get(this.self.dataCentre) ?? []) {
            const known = this.table.find(name)?.report;
            const isNewOrMoved = known === undefined || known.address !== address;
            if (isNewOrMoved || (isLeaving && known.state === "alive")) {
                const incarnation = known?.incarnation ?? 0;
                const state = isLeaving ? "leaving" : "alive";
                this.applyReport({ name, role, dataCentre, address, incarnation, state });
            }
        }
    }

    /**
     * Marks a member that does not answer as suspect; a leaving one is declared dead at once.
     *
     * @param peer - the member, as it was when the probe started
     */
    public suspect(peer: MemberReport): void {
        const known = this.table.find(peer.name)?.report;
        if (known && known.incarnation === peer.incarnation && known.state !== "dead") {
            const state = known.state === "leaving" ? "dead" : "suspect";
            this.applyReport({ ...known, state, accuser: this.self.name });
        }
    }

    /** Restarts all suspicion timeouts, because this process was itself paused or isolated. */
    public restartSuspicions(): void {
        this.table.restartSuspicions(this.clock.nowMs());
    }

    /** Declares suspects dead after their timeout, and deletes members that have been dead for long. */
    public expire(): void {
        const nowMs = this.clock.nowMs();
        for (const { report, stateSinceMs, accusers } of this.table.all()) {
            const limitMs = accusers.size > 1
                ? CONFIRMED_SUSPICION_TIMEOUT_MS
                : UNCONFIRMED_SUSPICION_TIMEOUT_MS;
            if (report.state === "suspect" && nowMs - stateSinceMs >= limitMs) {
                this.applyReport({ ...report, state: "dead", accuser: undefined });
            }
            if (report.state === "dead" && nowMs - stateSinceMs >= DEAD_MEMBER_RETENTION_MS) {
                this.table.forget(report.name);
            }
        }
    }

    /** Marks the process itself as leaving. */
    public beginLeaving(): void {
        this.ownReport = { ...this.ownReport, state: "leaving" };
        this.updates.add(this.selfReport);
        this.notify();
    }

    /**
     * Registers a listener for state changes of members.
     *
     * @param listener - function to call
     * @returns subscription; disposing it unregisters the listener
     */
    public onChange(listener: () => void): Disposable {
        this.listeners.add(listener);
        return { [Symbol.dispose]: () => void this.listeners.delete(listener) };
    }

    private refute(report: MemberReport): void {
        if (supersedes(report, this.selfReport)) {
            const incarnation = report.incarnation + 1;
            this.ownReport = { ...this.ownReport, incarnation };
            this.updates.add(this.selfReport);
            this.events.emit(suspicionRefuted, { claimed: report.state, incarnation });
        }
    }

    private countListedInstances(role: MemberRole, dataCentre: DataCentreId): number {
        return (this.listedInstances.get(dataCentre) ?? []).filter(instance =>
            instance.role === role && !instance.isLeaving
        ).length;
    }

    private notify(): void {
        for (const listener of [...this.listeners]) {
            listener();
        }
    }
}
