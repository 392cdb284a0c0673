/**
 * Measurements of a rollout experiment.
 *
 * @packageDocumentation
 */

import type { RolloutFleet, RunningNode } from "./rolloutFleet.ts";

/** Result of a rollout experiment. */
export interface RolloutReport {
    /** Number of nodes. */
    readonly nodes: number;
    /** Number of data centres. */
    readonly dataCentres: number;
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Injected fault. */
    readonly fault: string;
    /** Size of the rule file, in bytes. */
    readonly rulesBytes: number;
    /** Revisions published during the measurement. */
    readonly changes: number;
    /** Rate of these publications, per day. */
    readonly changesPerDay: number;
    /**
     * Longest time until a revision was active on a node, in milliseconds: counted from its publication or,
     * if later, from the time at which the node started, resumed or was reconnected.
     */
    readonly inForceMaxMs: number;
    /** Nodes on which the newest valid revision is not active at the end. */
    readonly missing: number;
    /** Number of times that a node activated a revision lower than one it had before, restarts included. */
    readonly reverts: number;
    /** Greatest number of calls to the platform in one second, the start of the fleet included. */
    readonly platformCallsPeakPerS: number;
    /** Quantiles over the nodes of the bytes per second that a node sent to the others. */
    readonly controlBytesPerNodePerS: { readonly p50: number; readonly p99: number; readonly max: number; };
    /**
     * Longest time from the start of a process until it had a configuration, in milliseconds; 0 if none
     * started during the measurement.
     */
    readonly newcomerReadyMs: number;
    /** Running nodes that another node considers dead at the end. */
    readonly wronglyRemoved: number;
    /** Nodes that have not yet received and rejected the invalid revision; 0 if none was published. */
    readonly missingRejected: number;
}

const MS_PER_S = 1_000;
const MS_PER_DAY = 86_400_000;

/** Returns the greatest number of calls within one second of the clock. */
const peakCallsPerS = (timesMs: readonly number[]): number => {
    const counts = new Map<number, number>();
    for (const timeMs of timesMs) {
        const second = Math.floor(timeMs / MS_PER_S);
        counts.set(second, (counts.get(second) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
};

const quantile = (sorted: readonly number[], share: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);

/** Records publications, activations and traffic of a fleet. */
export class RolloutRecorder {
    /** Number of times that a node activated a revision lower than one it had before. */
    public reverts = 0;
    private readonly publicationTimesMs = new Map<number, number>();
    private readonly reachableSinceMs = new Map<string, number>();
    private readonly highestRevisions = new Map<string, number>();
    private readonly replacedProcessBytes = new Map<string, number>();
    private readonly initialBytes = new Map<string, number>();
    private startMs = 0;
    private inForceMaxMs = 0;

    /**
     * Records the publication of a revision.
     *
     * @param revision - number of the revision
     * @param nowMs - virtual time, in milliseconds
     */
    public recordPublication(revision: number, nowMs: number): void {
        this.publicationTimesMs.set(revision, nowMs);
    }

    /**
     * Records that a node can receive changes from now on, because it started, resumed or was reconnected.
     *
     * @param name - name of the node
     * @param nowMs - virtual time, in milliseconds
     */
    public recordReachable(name: string, nowMs: number): void {
        this.reachableSinceMs.set(name, nowMs);
    }

    /**
     * Records that a revision became active on a node.
     *
     * @param runningNode - the node's process
     * @param revision - number of the revision
     * @param nowMs - virtual time, in milliseconds
     */
    public recordAcceptance(runningNode: RunningNode, revision: number, nowMs: number): void {
        const { name } = runningNode.node;
        const previousHighest = this.highestRevisions.get(name) ?? 0;
        if (revision < previousHighest) {
            this.reverts++;
        }
        this.highestRevisions.set(name, Math.max(previousHighest, revision));
        const publishedMs = this.publicationTimesMs.get(revision);
        if (publishedMs !== undefined) {
            const sinceMs = Math.max(publishedMs, this.reachableSinceMs.get(name) ?? 0);
            this.inForceMaxMs = Math.max(this.inForceMaxMs, nowMs - sinceMs);
        }
    }

    /**
     * Records the traffic of a process that is about to be replaced.
     *
     * @param runningNode - the process
     */
    public recordReplacement(runningNode: RunningNode): void {
        const { name } = runningNode.node;
        const sent = runningNode.runtime.endpoint.traffic.sentBytes - (this.initialBytes.get(name) ?? 0);
        this.initialBytes.delete(name);
        this.replacedProcessBytes.set(name, (this.replacedProcessBytes.get(name) ?? 0) + sent);
    }

    /**
     * Starts the measurement: traffic and activation times from before are not counted.
     *
     * @param fleet - the fleet
     */
    public startMeasurement(fleet: RolloutFleet): void {
        this.startMs = fleet.clock.nowMs();
        this.inForceMaxMs = 0;
        for (const [name, { runtime }] of fleet.runningNodes) {
            this.initialBytes.set(name, runtime.endpoint.traffic.sentBytes);
        }
    }

    /**
     * Creates the report.
     *
     * @param fleet - the fleet at the end of the run
     * @param run - seed, injected fault and number of the invalid revision (0 for none)
     * @returns the report
     */
    public createReport(
        fleet: RolloutFleet,
        run: { readonly seed: number; readonly fault: string; readonly rejected: number; },
    ): RolloutReport {
        const durationMs = fleet.clock.nowMs() - this.startMs;
        const runningNodes = [...fleet.runningNodes.values()];
        const newestRevision = Math.max(...this.publicationTimesMs.keys());
        const changes = [...this.publicationTimesMs.values()].filter(atMs => atMs >= this.startMs).length;
        const rates = runningNodes
            .map(runningNode => this.sentBytes(runningNode) / durationMs * MS_PER_S)
            .sort((left, right) => left - right);
        const startedNodes = runningNodes.filter(({ startedMs }) => startedMs >= this.startMs);
        return {
            nodes: fleet.nodes.length,
            dataCentres: new Set(fleet.nodes.map(({ dataCentre }) => dataCentre)).size,
            seed: run.seed,
            fault: run.fault,
            rulesBytes: fleet.rules.version(0).length,
            changes,
            changesPerDay: Math.round(changes / durationMs * MS_PER_DAY),
            inForceMaxMs: Math.round(this.inForceMaxMs),
            missing:
                runningNodes.filter(({ controlPlane }) =>
                    Number(controlPlane.store.current?.revision ?? 0) < newestRevision
                ).length,
            reverts: this.reverts,
            platformCallsPeakPerS: peakCallsPerS(fleet.platform.callTimesMs),
            controlBytesPerNodePerS: {
                p50: quantile(rates, 0.5),
                p99: quantile(rates, 0.99),
                max: quantile(rates, 1),
            },
            newcomerReadyMs: Math.round(Math.max(
                0,
                ...startedNodes.map(started =>
                    (started.readyMs ?? Number.POSITIVE_INFINITY) - started.startedMs
                ),
            )),
            wronglyRemoved: this.countWronglyRemoved(runningNodes),
            missingRejected: run.rejected === 0
                ? 0
                : runningNodes.filter(({ controlPlane }) =>
                    Number(controlPlane.store.rejected?.revision ?? 0) < run.rejected
                )
                    .length,
        };
    }

    private sentBytes(runningNode: RunningNode): number {
        const { name } = runningNode.node;
        return runningNode.runtime.endpoint.traffic.sentBytes
            - (this.initialBytes.get(name) ?? 0)
            + (this.replacedProcessBytes.get(name) ?? 0);
    }

    private countWronglyRemoved(runningNodes: readonly RunningNode[]): number {
        const removed = new Set(
            runningNodes.flatMap(({ controlPlane }) =>
                controlPlane.membership.deadPeers().map(({ name }) => String(name))
            ),
        );
        return runningNodes.filter(({ node }) => removed.has(node.name)).length;
    }
}
