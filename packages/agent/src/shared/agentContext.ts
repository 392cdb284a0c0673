/**
 * What the tasks of one agent share.
 *
 * @packageDocumentation
 */

import type { ConfigurationStore } from "@magnolialock/control";
import type { BackendServerId, IncarnationId, Runtime, ServiceName } from "@magnolialock/kernel";
import { RefusalReason, type RunRequest } from "@magnolialock/protocol";
import type { ServerRule, ServiceRule } from "@magnolialock/rules";
import type { Backend } from "../types/backend.ts";
import { AdmissionQueue } from "./admissionQueue.ts";
import type { ConfigurationFreshness } from "./configurationFreshness.ts";
import { InheritedLoad } from "./inheritedLoad.ts";
import { LatencyLimit } from "./latencyLimit.ts";
import { RefusedError } from "./refusedError.ts";
import { RequestJournal } from "./requestJournal.ts";
import { RunningCalls } from "./runningCalls.ts";
import { ServiceSpeed } from "./serviceSpeed.ts";
import { ServiceTimes } from "./serviceTimes.ts";
import { StartGate } from "./startGate.ts";
import { StateFeed } from "./stateFeed.ts";
import { WarmthLease } from "./warmthLease.ts";
import { WatchingEntries } from "./watchingEntries.ts";

/** Options of an {@link AgentContext}. */
export interface AgentContextOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Backend server that the agent stands beside. */
    readonly server: BackendServerId;
    /** This life of the agent. */
    readonly incarnation: IncarnationId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** The backend server. */
    readonly backend: Backend;
    /** Tells whether the configuration may be acted on; by default follows the store's confirmations. */
    readonly freshness?: ConfigurationFreshness | undefined;
    /** Asks for a confirmation of the configuration after a pause. */
    readonly requestConfirmation?: (() => void) | undefined;
    /** Whether calls wait for a slot; only experiments that measure what admission brings switch it off. */
    readonly hasAdmissionControl?: boolean;
}

/** Completions at warm speed that prove a cold server warm, by a written and by a learned warm time. */
const PROOFS_BY_WRITTEN_TIME = 3;
const PROOFS_BY_LEARNED_TIME = 16;
/** Longest call while the rules name no service, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;

/** How much longer than measured a call is expected to take before the server is proved warm. */
const UNPROVEN_SLOWDOWN = 4;

const QUEUE_TIME_SMOOTHING = 0.2;

/** State of one agent. */
export class AgentContext implements Disposable {
    /** Surroundings of the process. */
    public readonly runtime: Runtime;
    /** Backend server that the agent stands beside. */
    public readonly server: BackendServerId;
    /** This life of the agent. */
    public readonly incarnation: IncarnationId;
    /** Configuration in force. */
    public readonly configuration: ConfigurationStore;
    /** The backend server. */
    public readonly backend: Backend;
    /** Checks before every start. */
    public readonly gate: StartGate;
    /** Measured service times. */
    public readonly serviceTimes = new ServiceTimes();
    /** Speed of a warm server. */
    public readonly speed: ServiceSpeed;
    /** Belief that the backend server is warm. */
    public readonly lease: WarmthLease;
    /** Limit by measured latency. */
    public readonly latencyLimit: LatencyLimit;
    /** Calls of the last incarnation. */
    public readonly inherited: InheritedLoad;
    /** Running calls and their measurements. */
    public readonly calls: RunningCalls;
    /** Calls that run and wait. */
    public readonly admission: AdmissionQueue;
    /** What became of requests that may not be repeated. */
    public readonly journal: RequestJournal;
    /** Entries that watch this agent. */
    public readonly watchingEntries = new WatchingEntries();
    /** Wakes the tasks that report the state. */
    public readonly stateFeed: StateFeed;
    /** Functions that end the running calls, for the end of a stop. */
    public readonly callEndings = new Set<() => void>();
    /** Aborts when the reports to entries end. */
    public readonly reportsEnd = new AbortController();
    /** Prompt prefixes in the backend server's cache, by its last report. */
    public cachedPrefixes: readonly string[] = [];
    private smoothedQueueMs = 0;
    private reportedState = "";

    /** @param options - surroundings, identity and backend server */
    public constructor(options: AgentContextOptions) {
        this.runtime = options.runtime;
        this.server = options.server;
        this.incarnation = options.incarnation;
        this.configuration = options.configuration;
        this.backend = options.backend;
        const { clock, events } = options.runtime;
        const onChange = (): void => this.noteLimitChange();
        this.stateFeed = new StateFeed(clock);
        this.journal = new RequestJournal({ clock });
        this.gate = new StartGate({ ...options, onPause: () => this.notePause() });
        this.speed = new ServiceSpeed(() => this.serviceRule?.warmTimeMs);
        this.lease = new WarmthLease({
            clock,
            events,
            onChange,
            limits: () => ({ coldLimit: this.rule?.coldLimit ?? 0, warmLimit: this.rule?.warmLimit ?? 0 }),
            proofsNeeded: () => this.speed.isWritten ? PROOFS_BY_WRITTEN_TIME : PROOFS_BY_LEARNED_TIME,
        });
        this.latencyLimit = new LatencyLimit({
            clock,
            warmTimeMs: () => this.speed.warmTimeMs,
            floor: () => this.rule?.coldLimit ?? 0,
        });
        this.inherited = new InheritedLoad({
            clock,
            events,
            onChange,
            boundMs: () => this.serviceRule?.deadlineMs ?? DEFAULT_DEADLINE_MS,
        });
        this.calls = new RunningCalls({
            clock,
            speed: this.speed,
            lease: this.lease,
            latencyLimit: this.latencyLimit,
            serviceTimes: this.serviceTimes,
        });
        this.admission = new AdmissionQueue({
            clock,
            serviceTimes: { expectedMs: priority => this.expectedMs(priority) },
            limit: () => options.hasAdmissionControl === false ? Number.POSITIVE_INFINITY : this.limit,
            expectedLimit: () => this.ownShareOf(this.lease.coveredLimit),
            queueLimit: () => this.rule?.queueLimit ?? 0,
            checkStart: () => this.gate.check(),
            onChange: () => this.noteStateChange(),
        });
    }

    /** Rule of the backend server, if the configuration knows it. */
    public get rule(): ServerRule | undefined {
        return this.configuration.current?.rules.servers.get(this.server);
    }

    /** Rule of the backend server's service, if the configuration knows it. */
    public get serviceRule(): ServiceRule | undefined {
        const service = this.rule?.service;
        return service === undefined ? undefined : this.configuration.current?.rules.services.get(service);
    }

    /** Own calls that may run at once now. */
    public get limit(): number {
        this.calls.checkSilence();
        return this.ownShareOf(this.lease.limit);
    }

    /** What waits when a server turns cold would otherwise be counted on to finish as fast as before. */
    private expectedMs(priority: number): number {
        const slowdown = this.lease.isProven ? 1 : UNPROVEN_SLOWDOWN;
        return slowdown * this.serviceTimes.expectedMs(priority);
    }

    /** Recent time in the queue, in milliseconds. */
    public get queueMs(): number {
        return this.smoothedQueueMs;
    }

    /**
     * Notes how long a started call waited.
     *
     * @param queuedMs - time in the queue, in milliseconds
     */
    public noteQueueTime(queuedMs: number): void {
        this.smoothedQueueMs += QUEUE_TIME_SMOOTHING * (queuedMs - this.smoothedQueueMs);
    }

    /** Whether requests that may not be repeated may come here: their tickets name this life of the agent. */
    public get mayHoldTickets(): boolean {
        const { rule } = this;
        return rule !== undefined && !this.isModelService(rule.service);
    }

    /** Refuses new work from now on, for good. */
    public beginStop(): void {
        this.gate.beginStop();
        this.admission.refuseWaiting(
            new RefusedError("the agent is stopping", { props: { reason: RefusalReason.DRAINING } }),
        );
        this.noteStateChange();
    }

    /** Ends the reports to entries, so that their connections can close. */
    public endReports(): void {
        this.reportsEnd.abort();
        this.stateFeed.announce();
    }

    /**
     * Tells whether a service streams tokens.
     *
     * @param service - its name
     * @returns true for model services
     */
    public isModelService(service: string): boolean {
        return this.configuration.current?.rules.services.get(service as ServiceName)?.kind === "model";
    }

    /**
     * Checks that a request may be admitted at all.
     *
     * @param request - the request
     * @throws RefusedError that says why not
     */
    public checkAdmissible(request: RunRequest): void {
        if (this.rule === undefined || this.rule.service !== request.service) {
            throw new RefusedError("the agent has no configuration for this service", {
                props: { reason: RefusalReason.NOT_READY },
            });
        }
        this.gate.check();
    }

    /** Acts on a new configuration: what may no longer start is refused at once. */
    public noteConfiguration(): void {
        if (this.gate.isDraining) {
            this.admission.refuseWaiting(
                new RefusedError("the backend server is draining", {
                    props: { reason: RefusalReason.DRAINING },
                }),
            );
        }
        this.noteLimitChange();
    }

    /** Ends the detection of pauses. */
    public [Symbol.dispose](): void {
        this.gate[Symbol.dispose]();
    }

    private ownShareOf(borne: number): number {
        return Math.max(0, this.latencyLimit.under(borne) - this.inherited.count);
    }

    private notePause(): void {
        this.lease.fall("pause");
        this.admission.refuseWaiting(
            new RefusedError("the agent was paused while the call waited", {
                props: { reason: RefusalReason.NOT_READY, retryAfterMs: this.admission.retryAfterMs() },
            }),
        );
        this.noteStateChange();
    }

    private noteLimitChange(): void {
        if (!this.lease.isProven) {
            this.latencyLimit.reset();
        }
        this.admission.refuseLate();
        this.admission.admitWaiting();
        this.noteStateChange();
    }

    /** Wakes the reports when something changed that entries should know at once. */
    private noteStateChange(): void {
        const { gate, configuration } = this;
        const state = [
            this.lease.warmth,
            this.limit,
            gate.isDraining,
            gate.isFresh,
            configuration.current?.revision ?? 0,
        ].join(" ");
        if (state !== this.reportedState) {
            this.reportedState = state;
            this.stateFeed.announce();
        }
    }
}
