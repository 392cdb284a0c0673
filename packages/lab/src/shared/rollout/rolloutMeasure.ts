/**
 * What a rollout experiment measures.
 *
 * @packageDocumentation
 */

import type { NodeLife, RolloutFleet } from "./rolloutFleet.ts";

/** Result of a rollout experiment. */
export interface RolloutReport {
    /** Processes. */
    readonly nodes: number;
    /** Data centres. */
    readonly dataCentres: number;
    /** Seed of all random numbers. */
    readonly seed: number;
    /** What went wrong on purpose. */
    readonly fault: string;
    /** Size of the rule file, in bytes. */
    readonly rulesBytes: number;
    /** Changes in the measured time. */
    readonly changes: number;
    /** Rate of these changes. */
    readonly changesPerDay: number;
    /** Longest time from a change, or from when a process could hear of it again, until it was in force there. */
    readonly inForceMaxMs: number;
    /** Processes that never had the last revision in force. */
    readonly missing: number;
    /** Times that a process moved to a lower revision, also over a restart. */
    readonly reverts: number;
    /** Most calls to the platform in one second, from the first start on. */
    readonly platformCallsPeakPerS: number;
    /** Bytes that a process sent to others. */
    readonly controlBytesPerNodePerS: { readonly p50: number; readonly p99: number; readonly max: number; };
    /** Longest time from the start of a process until it could serve; 0 if none was started in the measured time. */
    readonly newcomerReadyMs: number;
    /** Live members that others took for dead, at the end. */
    readonly wronglyRemoved: number;
    /** Processes that still miss a rejected revision; 0 if none was rejected. */
    readonly missingRejected: number;
}

const MS_PER_S = 1_000;
const MS_PER_DAY = 86_400_000;

/** Largest number of calls in any whole second. */
const peakPerS = (timesMs: readonly number[]): number => {
    const counts = new Map<number, number>();
    for (const timeMs of timesMs) {
        const second = Math.floor(timeMs / MS_PER_S);
        counts.set(second, (counts.get(second) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
};

const quantile = (sorted: readonly number[], share: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);

/** Follows revisions and traffic of a fleet. */
export class RolloutMeasure {
    /** Times that a process moved to a lower revision. */
    public reverts = 0;
    private readonly publishedMs = new Map<number, number>();
    private readonly reachableMs = new Map<string, number>();
    private readonly highest = new Map<string, number>();
    private readonly goneBytes = new Map<string, number>();
    private readonly startBytes = new Map<string, number>();
    private startMs = 0;
    private inForceMaxMs = 0;

    /**
     * Notes a publication.
     *
     * @param revision - its number
     * @param nowMs - virtual time, in milliseconds
     */
    public notePublished(revision: number, nowMs: number): void {
        this.publishedMs.set(revision, nowMs);
    }

    /**
     * Notes that a process can hear of changes from now on: it healed, woke up or started.
     *
     * @param name - its name
     * @param nowMs - virtual time, in milliseconds
     */
    public noteReachable(name: string, nowMs: number): void {
        this.reachableMs.set(name, nowMs);
    }

    /**
     * Notes that a revision came into force in a process.
     *
     * @param life - the process
     * @param revision - the revision
     * @param nowMs - virtual time, in milliseconds
     */
    public noteAccepted(life: NodeLife, revision: number, nowMs: number): void {
        const { name } = life.node;
        const before = this.highest.get(name) ?? 0;
        if (revision < before) {
            this.reverts++;
        }
        this.highest.set(name, Math.max(before, revision));
        const publishedMs = this.publishedMs.get(revision);
        if (publishedMs !== undefined) {
            const sinceMs = Math.max(publishedMs, this.reachableMs.get(name) ?? 0);
            this.inForceMaxMs = Math.max(this.inForceMaxMs, nowMs - sinceMs);
        }
    }

    /**
     * Notes what a life sent before it ends.
     *
     * @param life - the life
     */
    public noteKilled(life: NodeLife): void {
        const { name } = life.node;
        const sent = life.runtime.endpoint.traffic.sentBytes - (this.startBytes.get(name) ?? 0);
        this.startBytes.delete(name);
        this.goneBytes.set(name, (this.goneBytes.get(name) ?? 0) + sent);
    }

    /**
     * Begins the measured time.
     *
     * @param fleet - the fleet
     */
    public begin(fleet: RolloutFleet): void {
        this.startMs = fleet.clock.nowMs();
        this.inForceMaxMs = 0;
        for (const [name, { runtime }] of fleet.lives) {
            this.startBytes.set(name, runtime.endpoint.traffic.sentBytes);
        }
    }

    /**
     * Sums up.
     *
     * @param fleet - the fleet at the end
     * @param facts - what was run
     * @returns the report
     */
    public report(
        fleet: RolloutFleet,
        facts: { readonly seed: number; readonly fault: string; readonly rejected: number; },
    ): RolloutReport {
        const durationMs = fleet.clock.nowMs() - this.startMs;
        const lives = [...fleet.lives.values()];
        const newest = Math.max(...this.publishedMs.keys());
        const changes = [...this.publishedMs.values()].filter(atMs => atMs >= this.startMs).length;
        const rates = lives
            .map(life => this.sentBytes(life) / durationMs * MS_PER_S)
            .sort((left, right) => left - right);
        const newcomers = lives.filter(({ startedMs }) => startedMs >= this.startMs);
        return {
            nodes: fleet.nodes.length,
            dataCentres: new Set(fleet.nodes.map(({ dataCentre }) => dataCentre)).size,
            seed: facts.seed,
            fault: facts.fault,
            rulesBytes: fleet.rules.version(0).length,
            changes,
            changesPerDay: Math.round(changes / durationMs * MS_PER_DAY),
            inForceMaxMs: Math.round(this.inForceMaxMs),
            missing: lives.filter(({ plane }) => Number(plane.store.current?.revision ?? 0) < newest).length,
            reverts: this.reverts,
            platformCallsPeakPerS: peakPerS(fleet.platform.callTimesMs),
            controlBytesPerNodePerS: {
                p50: quantile(rates, 0.5),
                p99: quantile(rates, 0.99),
                max: quantile(rates, 1),
            },
            newcomerReadyMs: Math.round(Math.max(
                0,
                ...newcomers.map(life => (life.readyMs ?? Number.POSITIVE_INFINITY) - life.startedMs),
            )),
            wronglyRemoved: this.countWronglyRemoved(lives),
            missingRejected: facts.rejected === 0
                ? 0
                : lives.filter(({ plane }) => Number(plane.store.rejected?.revision ?? 0) < facts.rejected)
                    .length,
        };
    }

    private sentBytes(life: NodeLife): number {
        const { name } = life.node;
        return life.runtime.endpoint.traffic.sentBytes
            - (this.startBytes.get(name) ?? 0)
            + (this.goneBytes.get(name) ?? 0);
    }

    private countWronglyRemoved(lives: readonly NodeLife[]): number {
        const removed = new Set(
            lives.flatMap(({ plane }) => plane.membership.deadPeers().map(({ name }) => String(name))),
        );
        return lives.filter(({ node }) => removed.has(node.name)).length;
    }
}
