/**
 * State that the tasks of one agent share.
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
import { StateChangeNotifier } from "./stateChangeNotifier.ts";
import { WarmthLease } from "./warmthLease.ts";
import { WatchingEntries } from "./watchingEntries.ts";

/** Options of an {@link AgentContext}. */
export interface AgentContextOptions {
    /** Clock, network, events and metrics of the process. */
    readonly runtime: Runtime;
    /** Identifier of the agent's backend server. */
    readonly server: BackendServerId;
    /** Incarnation of the agent, new at each start of the process. */
    readonly incarnation: IncarnationId;
    /** Store of the configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Client of the backend server. */
    readonly backend: Backend;
    /** Decides whether the configuration is fresh enough; by default from the store's confirmations. */
    readonly freshness?: ConfigurationFreshness | undefined;
    /** Requests a confirmation of the configuration after a pause. */
    readonly requestConfirmation?: (() => void) | undefined;
    /** Whether calls wait for a slot; only experiments on the effect of admission switch this off. */
    readonly hasAdmissionControl?: boolean;
}

/**
 * Completions at warm speed that prove a cold server warm when the rules set the warm time. A warm time that
 * was learned from measurements needs more of them.
 */
const MIN_PROOFS_CONFIGURED_TIME = 3;
const MIN_PROOFS_LEARNED_TIME = 16;
/** Upper bound for the duration of a call while the rules do not name the service, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;

/** Factor on the measured service times in estimates while the server is not proven warm. */
const UNPROVEN_SLOWDOWN_FACTOR = 4;

const QUEUE_TIME_SMOOTHING = 0.2;

/** State of one agent. */
export class AgentContext implements Disposable {
    /** Clock, network, events and metrics of the process. */
    public readonly runtime: Runtime;
    /** Identifier of the agent's backend server. */
    public readonly server: BackendServerId;
    /** Incarnation of the agent, new at each start of the process. */
    public readonly incarnation: IncarnationId;
    /** Store of the configuration in force. */
    public readonly configuration: ConfigurationStore;
    /** Client of the backend server. */
    public readonly backend: Backend;
    /** Preconditions that are checked before every start. */
    public readonly gate: StartGate;
    /** Measured service times by priority class. */
    public readonly serviceTimes = new ServiceTimes();
    /** Classification of measured times by the speed of a warm server. */
    public readonly speed: ServiceSpeed;
    /** Lease under which the backend server counts as warm. */
    public readonly lease: WarmthLease;
    /** Concurrency limit that adapts to the measured latency. */
    public readonly latencyLimit: LatencyLimit;
    /** Calls of the previous incarnation that may still run in the backend server. */
    public readonly inheritedLoad: InheritedLoad;
    /** Running calls and their measurements. */
    public readonly calls: RunningCalls;
    /** Slots of the running calls and queue of the waiting ones. */
    public readonly admission: AdmissionQueue;
    /** States and outcomes of non-repeatable requests. */
    public readonly journal: RequestJournal;
    /** Entries that watch this agent. */
    public readonly watchingEntries = new WatchingEntries();
    /** Wakes the tasks that report the agent's state to entries. */
    public readonly stateChanges: StateChangeNotifier;
    /** Functions that cancel the running calls when the drain timeout of a stop is over. */
    public readonly callCancellers = new Set<() => void>();
    /** Aborted to end the sessions with entries and the state reports to them. */
    public readonly entryStreamsAbort = new AbortController();
    /** Keys of the prompt prefixes in the backend server's cache, from its last load report. */
    public cachedPrefixes: readonly string[] = [];
    private smoothedQueueMs = 0;
    private lastNotifiedState = "";

    /** @param options - runtime, identity, configuration and backend server */
    public constructor(options: AgentContextOptions) {
        this.runtime = options.runtime;
        this.server = options.server;
        this.incarnation = options.incarnation;
        this.configuration = options.configuration;
        this.backend = options.backend;
        const { clock, events } = options.runtime;
        const onChange = (): void => this.handleLimitChange();
        this.stateChanges = new StateChangeNotifier(clock);
        this.journal = new RequestJournal({ clock });
        this.gate = new StartGate({ ...options, onPause: () => this.handlePause() });
        this.speed = new ServiceSpeed(() => this.serviceRule?.warmTimeMs);
        this.lease = new WarmthLease({
            clock,
            events,
            onChange,
            limits: () => ({ coldLimit: this.rule?.coldLimit ?? 0, warmLimit: this.rule?.warmLimit ?? 0 }),
            requiredProofs: () =>
                this.speed.isConfigured ? MIN_PROOFS_CONFIGURED_TIME : MIN_PROOFS_LEARNED_TIME,
        });
        this.latencyLimit = new LatencyLimit({
            clock,
            warmTimeMs: () => this.speed.warmTimeMs,
            floor: () => this.rule?.coldLimit ?? 0,
        });
        this.inheritedLoad = new InheritedLoad({
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
            expectedLimit: () => this.limitWithin(this.lease.coveredLimit),
            queueLimit: () => this.rule?.queueLimit ?? 0,
            checkStart: () => this.gate.check(),
            onChange: () => this.notifyStateChange(),
        });
    }

    /** Rule of the backend server; undefined if the configuration has none. */
    public get rule(): ServerRule | undefined {
        return this.configuration.current?.rules.servers.get(this.server);
    }

    /** Rule of the backend server's service; undefined if the configuration has none. */
    public get serviceRule(): ServiceRule | undefined {
        const service = this.rule?.service;
        return service === undefined ? undefined : this.configuration.current?.rules.services.get(service);
    }

    /** Number of this incarnation's calls that may run concurrently now. */
    public get limit(): number {
        this.calls.checkStall();
        return this.limitWithin(this.lease.limit);
    }

    /**
     * Expected service time: the measured one, multiplied while the server is not proven warm. Otherwise the
     * calls that wait when a server turns cold would be expected to finish as fast as before.
     */
    private expectedMs(priority: number): number {
        const slowdown = this.lease.isProven ? 1 : UNPROVEN_SLOWDOWN_FACTOR;
        return slowdown * this.serviceTimes.expectedMs(priority);
    }

    /** Exponentially smoothed time that started calls spent in the queue, in milliseconds. */
    public get queueMs(): number {
        return this.smoothedQueueMs;
    }

    /**
     * Records how long a started call waited.
     *
     * @param queuedMs - time in the queue, in milliseconds
     */
    public recordQueueTime(queuedMs: number): void {
        this.smoothedQueueMs += QUEUE_TIME_SMOOTHING * (queuedMs - this.smoothedQueueMs);
    }

    /**
     * Whether this agent takes non-repeatable requests, whose tickets name this incarnation. False for model
     * services and while the configuration has no rule for the backend server.
     */
    public get acceptsTickets(): boolean {
        const { rule } = this;
        return rule !== undefined && !this.isModelService(rule.service);
    }

    /** Refuses waiting and new calls from now on; this cannot be undone. */
    public beginStop(): void {
        this.gate.beginStop();
        this.admission.refuseWaiting(
            new RefusedError("the agent is stopping", { props: { reason: RefusalReason.DRAINING } }),
        );
        this.notifyStateChange();
    }

    /** Ends the sessions with entries and the state reports to them, so that their connections can close. */
    public closeEntryStreams(): void {
        this.entryStreamsAbort.abort();
        this.stateChanges.notifyAll();
    }

    /**
     * Checks whether a service is a model service, which streams tokens.
     *
     * @param service - name of the service
     * @returns true for model services
     */
    public isModelService(service: string): boolean {
        return this.configuration.current?.rules.services.get(service as ServiceName)?.kind === "model";
    }

    /**
     * Checks that a request is for this agent's service and that work may start now.
     *
     * @param request - the request
     * @throws RefusedError with the reason if it may not be admitted
     */
    public checkAdmissible(request: RunRequest): void {
        if (this.rule === undefined || this.rule.service !== request.service) {
            throw new RefusedError("the agent has no configuration for this service", {
                props: { reason: RefusalReason.NOT_READY },
            });
        }
        this.gate.check();
    }

    /** Applies a new configuration. Waiting calls that may no longer start are refused at once. */
    public handleConfigurationChange(): void {
        if (this.gate.isDraining) {
            this.admission.refuseWaiting(
                new RefusedError("the backend server is draining", {
                    props: { reason: RefusalReason.DRAINING },
                }),
            );
        }
        this.handleLimitChange();
    }

    /** Stops the pause detection. */
    public [Symbol.dispose](): void {
        this.gate[Symbol.dispose]();
    }

    /**
     * Applies the latency limit to a ceiling and subtracts the inherited calls, which take up capacity of the
     * backend server but are not counted as running here.
     */
    private limitWithin(ceiling: number): number {
        return Math.max(0, this.latencyLimit.cappedAt(ceiling) - this.inheritedLoad.count);
    }

    private handlePause(): void {
        this.lease.revoke("pause");
        this.admission.refuseWaiting(
            new RefusedError("the agent was paused while the call waited", {
                props: { reason: RefusalReason.NOT_READY, retryAfterMs: this.admission.retryAfterMs() },
            }),
        );
        this.notifyStateChange();
    }

    private handleLimitChange(): void {
        if (!this.lease.isProven) {
            this.latencyLimit.reset();
        }
        this.admission.refuseUnmeetable();
        this.admission.admitWaiting();
        this.notifyStateChange();
    }

    /** Wakes the state reports if a field changed that entries need to know without delay. */
    private notifyStateChange(): void {
        const { gate, configuration } = this;
        const state = [
            this.lease.warmth,
            this.limit,
            gate.isDraining,
            gate.isFresh,
            configuration.current?.revision ?? 0,
        ].join(" ");
        if (state !== this.lastNotifiedState) {
            this.lastNotifiedState = state;
            this.stateChanges.notifyAll();
        }
    }
}
