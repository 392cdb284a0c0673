/**
 * Who is in the fleet: all members of the own data centre, and summaries of the others.
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

/** Contacts that a summary names. */
const CONTACTS_PER_SUMMARY = 3;
/** A suspect that two others or more suspect is removed after this time, in milliseconds. */
const CONFIRMED_SUSPICION_TIMEOUT_MS = 3_000;
/** A suspect that only one process suspects is removed after this time, in milliseconds. */
const UNCONFIRMED_SUSPICION_TIMEOUT_MS = 10_000;
/** Dead members are forgotten after this time, in milliseconds. */
const DEAD_MEMBER_RETENTION_MS = 600_000;

/** First-hand view of the fleet, kept by one process. */
export class Membership {
    /** Reports that still have to spread. */
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

    /** @param options - surroundings and identity */
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

    /** Report of the process about itself. */
    public get selfReport(): MemberReport {
        return this.ownReport;
    }

    /** Members of the own data centre, the process itself first. */
    public get members(): readonly MemberReport[] {
        return [this.selfReport, ...this.table.all().map(({ report }) => report)];
    }

    /** Newest summaries of the other data centres. */
    public get otherDataCentres(): readonly DataCentreSummary[] {
        return [...this.summaries.values()];
    }

    /**
     * Counts live processes. Other data centres count as last heard, also while they are cut off.
     *
     * @param role - what they run
     * @param dataCentre - where; the whole fleet by default
     * @returns how many, with the process itself
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

    /** Live members of the own data centre, with the process itself unless it leaves. */
    public liveMembers(): MemberReport[] {
        const others = this.table.live();
        return this.ownReport.state === "alive" ? [this.selfReport, ...others] : others;
    }

    /** Other members of the own data centre that may answer. */
    public reachablePeers(): MemberReport[] {
        return this.table.reachable();
    }

    /** Removed members, which may have come back. */
    public deadPeers(): MemberReport[] {
        return this.table.all().map(({ report }) => report).filter(({ state }) => state === "dead");
    }

    /** Data centres that are known, the own one among them. */
    public knownDataCentres(): DataCentreId[] {
        return [...new Set([this.self.dataCentre, ...this.summaries.keys(), ...this.listedInstances.keys()])];
    }

    /** Other data centres that are known. */
    public otherDataCentreNames(): DataCentreId[] {
        return this.knownDataCentres().filter(name => name !== this.self.dataCentre);
    }

    /**
     * Picks processes of another data centre to talk to.
     *
     * @param dataCentre - the data centre
     * @param count - how many at most
     * @returns contacts that its members named; those of the platform's list when there are none
     */
    public sampleContacts(dataCentre: DataCentreId, count = 1): MemberIdentity[] {
        const named = this.summaries.get(dataCentre)?.contacts ?? [];
        const pool = named.length > 0 ? named : this.listedInstances.get(dataCentre) ?? [];
        return randomSample(this.random, pool, count);
    }

    /**
     * Picks processes of another data centre from the platform's list.
     *
     * @param dataCentre - the data centre
     * @param count - how many at most
     * @returns listed processes, live or not
     */
    public sampleListed(dataCentre: DataCentreId, count: number): MemberIdentity[] {
        return randomSample(this.random, this.listedInstances.get(dataCentre) ?? [], count);
    }

    /** Summary of the own data centre, with other contacts each time. */
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
     * Takes a report from a peer.
     *
     * @param report - about any process
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
     * Takes the report of a process about itself. One that is taken for gone hears so in the next datagram, and
     * can refute it.
     *
     * @param sender - the process that sent a datagram
     */
    public applySenderReport(sender: MemberReport): void {
        this.applyReport(sender);
        const known = this.table.find(sender.name)?.report;
        if (known?.state === "dead" || known?.state === "suspect") {
            this.updates.add(known);
        }
    }

    /**
     * Takes a summary of another data centre.
     *
     * @param summary - the summary
     */
    public applySummary(summary: DataCentreSummary): void {
        const known = this.summaries.get(summary.dataCentre);
        const isNews = summary.dataCentre !== this.self.dataCentre
            && (known === undefined || summary.createdAtMs > known.createdAtMs);
        if (isNews) {
            this.summaries.set(summary.dataCentre, summary);
        }
    }

    /**
     * Takes the platform's list. It says who exists; it never removes a member that answers.
     *
     * @param instances - the list
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
            const isNews = known === undefined || known.address !== address;
            if (isNews || (isLeaving && known.state === "alive")) {
                const incarnation = known?.incarnation ?? 0;
                const state = isLeaving ? "leaving" : "alive";
                this.applyReport({ name, role, dataCentre, address, incarnation, state });
            }
        }
    }

    /**
     * Marks a member that does not answer.
     *
     * @param peer - the member
     */
    public suspect(peer: MemberReport): void {
        const known = this.table.find(peer.name)?.report;
        if (known && known.incarnation === peer.incarnation && known.state !== "dead") {
            const state = known.state === "leaving" ? "dead" : "suspect";
            this.applyReport({ ...known, state, accuser: this.self.name });
        }
    }

    /** Gives suspects their full time again, for an observer that was paused or cut off itself. */
    public restartSuspicions(): void {
        this.table.restartSuspicions(this.clock.nowMs());
    }

    /** Removes suspects whose time is up, and forgets members that died long ago. */
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
     * Listens for members that enter another state.
     *
     * @param listener - what to call
     * @returns disposing it ends the calls
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
