/**
 * State of a running scenario: the fleet that its steps act on, and the observations for the oracle.
 *
 * @packageDocumentation
 */

import type { EventSink } from "@magnolialock/kernel";
import type { VirtualRuntime } from "@magnolialock/test-support";
import type { FleetShape } from "../fleet/fleetRules.ts";
import { VirtualFleet } from "../fleet/virtualFleet.ts";
import type {
    Disturbance,
    ExecutionStart,
    Observations,
    PublishedRevision,
    RevisionSample,
} from "../oracle/observations.ts";
import { tokenText } from "../standIns/simulatedEngine.ts";
import { promptOf, ScenarioCallers } from "./scenarioCallers.ts";

/** Options of {@link ScenarioWorld}. */
export interface ScenarioWorldOptions {
    /** Size of the fleet. */
    readonly shape: FleetShape;
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Sinks for the events of all processes. */
    readonly sinks?: readonly EventSink[];
}

/** Interval at which the revisions in force are sampled, in milliseconds. */
const SAMPLE_PERIOD_MS = 500;

/** A running fleet with its callers, the operators' decisions and the injected faults. */
export class ScenarioWorld {
    /** Callers, and the requests that they sent. */
    public readonly callers: ScenarioCallers;
    /** Names of the data centres that operators have taken out. */
    public readonly outDataCentres = new Set<string>();
    /** Names of the backend servers that operators are draining. */
    public readonly drainingServers = new Set<string>();
    private readonly disturbances: Disturbance[] = [];
    private readonly revisionSamples: RevisionSample[] = [];
    private readonly publishedRevisions: PublishedRevision[] = [];
    private readonly pausedProcesses = new Set<string>();
    private readonly stoppedProcesses = new Set<string>();
    private healCallbacks: (() => void)[] = [];

    private constructor(
        /** Fleet that the scenario runs on. */
        public readonly fleet: VirtualFleet,
        /** Size of that fleet. */
        public readonly shape: FleetShape,
    ) {
        this.callers = new ScenarioCallers(fleet, shape);
        this.recordPublication(false);
        this.sampleRevisions();
    }

    /**
     * Starts a fleet for a scenario.
     *
     * @param options - size, seed and event sinks
     * @returns the state of the scenario at its start
     */
    public static async start(options: ScenarioWorldOptions): Promise<ScenarioWorld> {
        const { shape, seed, sinks } = options;
        return new ScenarioWorld(
            await VirtualFleet.start({ shape, seed, sinks, hasControlPlane: true }),
            shape,
        );
    }

    /** Virtual time since the start of the run, in milliseconds. */
    public get nowMs(): number {
        return this.fleet.clock.nowMs();
    }

    /**
     * Records the start of a disturbance, such as a fault or an operator's action.
     *
     * @param kind - kind of the disturbance
     * @param subject - process, backend server or data centre that it affects; empty for the whole fleet
     * @param endMs - time at which it ends, in milliseconds; by default now, for a single event; infinite for
     * one that lasts until {@link ScenarioWorld.endDisturbance}
     */
    public recordDisturbance(kind: Disturbance["kind"], subject: string, endMs = this.nowMs): void {
        const isPlanned = ["data centre out", "drain", "publish", "stop"].includes(kind);
        this.disturbances.push({ kind, subject, endMs, isPlanned, atMs: this.nowMs });
    }

    /**
     * Records the end of a lasting disturbance.
     *
     * @param kind - kind of the disturbance
     * @param subject - process, backend server or data centre that it affected
     */
    public endDisturbance(kind: Disturbance["kind"], subject: string): void {
        for (const disturbance of this.disturbances) {
            if (
                disturbance.kind === kind && disturbance.subject === subject && disturbance.endMs > this.nowMs
            ) {
                disturbance.endMs = this.nowMs;
            }
        }
    }

    /** Publishes rules with the operators' current decisions. */
    public publish(): void {
        this.fleet.publish({ out: [...this.outDataCentres], drain: [...this.drainingServers] });
        this.recordPublication(false);
    }

    /** Publishes invalid rules, which name a data centre that does not exist. */
    public publishInvalid(): void {
        this.fleet.publish({ extraLines: ["out nowhere"] });
        this.recordPublication(true);
    }

    /**
     * Pauses a process, unless it was killed or is already paused, and resumes it later.
     *
     * @param process - name of the entry or agent
     * @param durationMs - duration of the pause, in milliseconds
     */
    public pause(process: string, durationMs: number): void {
        const runtime = this.runtimeOf(process);
        if (!runtime?.process.isAlive || this.pausedProcesses.has(process)) {
            return;
        }
        this.recordDisturbance("pause", process, this.nowMs + durationMs);
        this.pausedProcesses.add(process);
        runtime.process.pause();
        this.fleet.clock.setTimer(durationMs, () => {
            if (runtime.process.isAlive) {
                this.pausedProcesses.delete(process);
            }
            runtime.process.resume();
        });
    }

    /**
     * Registers a cut of the network for {@link ScenarioWorld.healNetwork}.
     *
     * @param heal - restores the links
     */
    public addCut(heal: () => void): void {
        this.recordDisturbance("cut", "", Number.POSITIVE_INFINITY);
        this.healCallbacks.push(heal);
    }

    /** Restores all links that are cut. */
    public healNetwork(): void {
        for (const heal of this.healCallbacks) {
            heal();
        }
        this.healCallbacks = [];
        this.endDisturbance("cut", "");
    }

    /**
     * Kills an entry; its callers lose their connections and get no further events.
     *
     * @param name - name of the entry
     */
    public killEntry(name: string): void {
        const killed = this.fleet.entries.get(name);
        if (killed) {
            this.recordDisturbance("kill", name);
            this.callers.dropConnections(name);
            this.fleet.network.kill(killed.runtime.endpoint);
            this.clearPause(name);
        }
    }

    /**
     * Kills an entry and starts a new one in its place.
     *
     * @param name - name of the entry
     */
    public replaceEntry(name: string): void {
        this.killEntry(name);
        this.fleet.replaceEntry(name);
        this.stoppedProcesses.delete(name);
    }

    /**
     * Kills an agent and starts a new one in its place; its backend server keeps running.
     *
     * @param server - name of the backend server
     */
    public async replaceAgent(server: string): Promise<void> {
        const name = `agent-${server}`;
        this.recordDisturbance("kill", name);
        this.endDisturbance("stop", name);
        this.clearPause(name);
        await this.fleet.replaceAgent(server);
        this.stoppedProcesses.delete(name);
    }

    /**
     * Stops a process as SIGTERM does, unless it is already stopping.
     *
     * @param process - name of the entry or agent
     */
    public stop(process: string): void {
        const target = this.fleet.entries.get(process)?.entry
            ?? this.fleet.backends.get(process.replace(/^agent-/, ""))?.agent;
        if (target && !this.stoppedProcesses.has(process)) {
            this.recordDisturbance("stop", process, Number.POSITIVE_INFINITY);
            this.stoppedProcesses.add(process);
            this.runtimeOf(process)?.process.run(() => void target.stop());
        }
    }

    /** Returns the revision in force in each process that runs and is not stopping; 0 for none. */
    public processRevisions(): { readonly name: string; readonly revision: number; }[] {
        const processes = [
            ...[...this.fleet.entries.values()].map(({ name, runtime, entry }) => ({
                name,
                runtime,
                member: entry,
            })),
            ...[...this.fleet.backends.values()].map(({ server, runtime, agent }) => ({
                name: `agent-${server.name}`,
                runtime,
                member: agent,
            })),
        ];
        return processes
            .filter(({ name, runtime }) => runtime.process.isAlive && !this.stoppedProcesses.has(name))
            .map(({ name, member }) => ({
                name,
                revision: member.context.configuration.current?.revision ?? 0,
            }));
    }

    /** Returns all observations so far, for the oracle. */
    public observe(): Observations {
        return {
            tries: this.callers.tries,
            starts: this.collectStarts(),
            disturbances: this.disturbances,
            revisionSamples: this.revisionSamples,
            publishedRevisions: this.publishedRevisions,
            rankSteps: [],
            endMs: this.nowMs,
            expectedDraft: (requestId, tokens) =>
                Array.from({ length: tokens }, (_, index) => tokenText(promptOf(requestId), index)).join(""),
        };
    }

    private runtimeOf(process: string): VirtualRuntime | undefined {
        return this.fleet.entries.get(process)?.runtime
            ?? this.fleet.backends.get(process.replace(/^agent-/, ""))?.runtime;
    }

    private clearPause(process: string): void {
        this.pausedProcesses.delete(process);
        this.endDisturbance("pause", process);
    }

    private recordPublication(isBad: boolean): void {
        const { revision } = this.fleet.platform;
        this.publishedRevisions.push({ atMs: this.nowMs, revision, isBad });
        if (revision > 1) {
            this.recordDisturbance("publish", String(revision));
        }
    }

    private collectStarts(): ExecutionStart[] {
        const { modelLimits, plainLimits } = this.shape;
        return [...this.fleet.backends.values()]
            .flatMap(({ server, engine, plain }) =>
                [...engine?.starts ?? [], ...plain?.runs ?? []].map(start => ({
                    ...start,
                    server: server.name,
                    dataCentre: server.dataCentre,
                    coldLimit: (engine ? modelLimits : plainLimits).cold,
                }))
            )
            .sort((left, right) => left.atMs - right.atMs);
    }

    private sampleRevisions(): void {
        for (const { name, revision } of this.processRevisions()) {
            this.revisionSamples.push({
                atMs: this.nowMs,
                process: name,
                revision,
                isPaused: this.pausedProcesses.has(name),
            });
        }
        this.fleet.clock.setTimer(SAMPLE_PERIOD_MS, () => this.sampleRevisions());
    }
}
