/**
 * State that the requests of one direct entry share.
 *
 * @packageDocumentation
 */

import { RetryBudget } from "@magnolialock/entry/src/shared/retryBudget.ts";
import type { DataCentreId, Runtime, ServiceName } from "@magnolialock/kernel";
import type { UpstreamClient } from "../types/call.ts";
import type { CallHeaderNames } from "../types/callHeaders.ts";
import type { DirectSettings, SafetyBounds } from "../types/directSettings.ts";
import type { EngineTiming, ServiceSpec } from "../types/publishedState.ts";
import { differsInPriority } from "./admission/urgency.ts";
import { AdmissionQueue } from "./admissionQueue.ts";
import { CallerRetryDetector } from "./callerRetryDetector.ts";
import type { CallMetrics } from "./callMetrics.ts";
import { chooseServer, type SpreadRule } from "./chooseServer.ts";
import { concurrencyLimit, shareOfFleet } from "./concurrencyLimit.ts";
import type { HeardSources } from "./configurationEvidence.ts";
import { CrashQuarantine } from "./crashQuarantine.ts";
import { FleetAllotment, type FleetView } from "./fleetAllotment.ts";
import { FleetNews } from "./fleetNews.ts";
import { PassBudget, type PassLimits } from "./placement/passBudget.ts";
import { CurrentPassLimits } from "./placement/passLimits.ts";
import { placementLoad } from "./placement/placementLoad.ts";
import { UnreadPrompts } from "./placement/unreadPrompts.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";
import { ResponseBuffers } from "./responseBuffers.ts";
import type { ServerDirectory } from "./serverDirectory.ts";
import { ServerLimits } from "./serverLimits.ts";
import { AnswerEnds } from "./servers/answerEnds.ts";
import { ServiceGroups } from "./serviceGroups.ts";
import { StopPlan } from "./stopPlan.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Runtime of a direct entry: without the transport, because it makes no calls over Connect. */
export type DirectRuntime = Pick<Runtime, "clock" | "random" | "events">;

/** Options of a {@link DirectContext}. */
export interface DirectContextOptions {
    /** Runtime of the process. */
    readonly runtime: DirectRuntime;
    /** Settings of the process. */
    readonly settings: DirectSettings;
    /** Header names of the installation. */
    readonly headers: CallHeaderNames;
    /** Published state of the platform. */
    readonly store: PublishedStateStore;
    /** Backend servers. */
    readonly directory: ServerDirectory;
    /** Client for requests to backend servers. */
    readonly upstreams: UpstreamClient;
    /** Request metrics. */
    readonly metrics: CallMetrics;
    /** Returns whether the published state is known as well as the others know it, so that requests may be served. */
    readonly hasJoined: () => boolean;
    /** Returns what this instance has heard of the published state, for the log. */
    readonly heardSources: () => HeardSources;
    /** Returns the instances that may be alive. */
    readonly fleet: () => FleetView;
    /** Returns the data centre of each other live instance. */
    readonly peerDataCentres: () => readonly DataCentreId[];
}

/** State of one service. */
export interface ServiceState {
    /** Health of its groups of model servers. */
    readonly groups: ServiceGroups;
    /** How many requests its model servers may run at once for the pauses between events. */
    readonly passBudget: PassBudget;
    /** Prompts that its model servers have not read yet. */
    readonly unreadPrompts: UnreadPrompts;
    /** Budget for retries. */
    readonly retryBudget: RetryBudget;
    /** Requests that wait for a slot at its model servers. */
    readonly admissionQueue: AdmissionQueue;
    /** Detects requests that callers retry after a refusal. */
    readonly callerRetries: CallerRetryDetector;
}

/**
 * Share of the installation's retry ratio that each instance uses; below 1, because the ratio counts the
 * retries of all instances.
 */
const RETRY_RATIO_SHARE = 0.75;
/**
 * Share of the installation's retry slack that is used: retries that instances count independently may fall
 * into one window.
 */
const RETRY_SLACK_SHARE = 0.7;
/** Share of the retry slack that is saved up for bursts; the rest accrues evenly over the window. */
const BURST_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
/**
 * Share of the cold-start rate limit that is used: instances that have just started, or that disagree about who
 * is alive, may hold more than their part for a while.
 */
const COLD_RATE_SHARE = 0.6;

/**
 * Time between two reports of another instance, in milliseconds: 200 within a data centre, five times as long to others.
 * The replays change little from half to four times of it.
 */
const REPORT_AGE_MS = 400;
/** Share of a server's connection limit for idle connections; the rest is for bursts. */
const IDLE_CONNECTION_SHARE = 0.5;
/**
 * Maximum number of idle connections to one server; further ones would time out before they are used again.
 */
const MAX_IDLE_CONNECTIONS = 8;

/** Shared state of one direct entry. */
export class DirectContext {
    /** Options that it was created with. */
    public readonly options: DirectContextOptions;
    /** Memory of the responses that are being buffered. */
    public readonly responseBuffers = new ResponseBuffers();
    /** Parts of prompts, and requests, that crash servers. */
    public readonly quarantine: CrashQuarantine;
    /** Limits that backend servers name. */
    public readonly limits: ServerLimits;
    /** Judges answers that end with their connection. */
    public readonly answerEnds: AnswerEnds;
    /** News for the other instances. */
    public readonly news: FleetNews;
    /** Bounds in force; a reload of the settings may change them. */
    public bounds: SafetyBounds;
    /** Which requests are still passed on while the process stops. */
    public readonly stop: StopPlan;
    private readonly ending = new AbortController();
    private readonly services = new Map<ServiceName, ServiceState>();
    private readonly allotment: FleetAllotment;

    /** @param options - components of the direct entry */
    public constructor(options: DirectContextOptions) {
        this.options = options;
        this.bounds = options.settings.bounds;
        this.allotment = new FleetAllotment(options.settings.instance, options.fleet);
        const { clock, events, random } = options.runtime;
        this.stop = new StopPlan(clock);
        this.answerEnds = new AnswerEnds(options);
        this.limits = new ServerLimits({
            clock,
            events,
            random,
            header: options.headers.serverLimit,
            unitsOf: (key, total) => this.allotment.settledUnitsOf(key, total),
        });
        this.quarantine = new CrashQuarantine({
            clock,
            events,
            random,
            isTrialInstance: part => this.allotment.unitsOf(`trial of ${part}`, 1) > 0,
        });
        this.news = new FleetNews(this.quarantine, this.limits, options.store.leaving);
        options.directory.onLeft(({ entry }) => options.upstreams.closeIdle(entry.id));
    }

    /** Aborted when the process is about to end: requests that still run are answered then. */
    public get endSignal(): AbortSignal {
        return this.ending.signal;
    }

    /** Lets the requests that wait for a slot decide again whether they can still be served. */
    public cancelWaiters(): void {
        for (const { admissionQueue } of this.services.values()) {
            admissionQueue.cancelWaiters();
        }
    }

    /** Ends the requests that still run. */
    public endRequests(): void {
        this.ending.abort();
    }

    /**
     * Returns the state of a service; creates it on first use.
     *
     * @param service - its name
     */
    public service(service: ServiceName): ServiceState {
        let state = this.services.get(service);
        if (!state) {
            const { clock, events, random } = this.options.runtime;
            const { retryRatio } = this.bounds;
            const currentLimits = new CurrentPassLimits(service);
            const limits = (): PassLimits | undefined =>
                currentLimits.of(this.options.store.configuration?.configuration);
            const servers = (): readonly TrackedServer[] => this.options.directory.candidates(service);
            const passBudget = new PassBudget({ clock, events, service, limits, servers });
            const timing = (): EngineTiming | undefined => limits()?.timing;
            const names = this.options.headers;
            state = {
                groups: new ServiceGroups({ clock, events, random, service }),
                passBudget,
                unreadPrompts: new UnreadPrompts({ clock, events, names, timing, budget: passBudget }),
                callerRetries: new CallerRetryDetector(),
                admissionQueue: new AdmissionQueue({
                    clock,
                    random,
                    limit: () => this.concurrencyLimit(service),
                    hasUrgency: () =>
                        differsInPriority(
                            this.options.store.configuration?.configuration.routes ?? [],
                            service,
                        ),
                }),
                retryBudget: new RetryBudget({
                    clock,
                    retriesPerSuccess: retryRatio * RETRY_RATIO_SHARE,
                    ...this.retryBudgetShare(service),
                }),
            };
            this.services.set(service, state);
        }
        return state;
    }

    /** States of all services used so far, by name. */
    public serviceStates(): ReadonlyMap<ServiceName, ServiceState> {
        return this.services;
    }

    /** Adapts this instance's share of the fleet's retry slack to the number of instances. */
    public resizeRetryBudgets(): void {
        for (const [service, { retryBudget }] of this.services) {
            retryBudget.resize(this.retryBudgetShare(service));
        }
    }

    /**
     * Selects the server for an attempt.
     *
     * @param servers - servers that accept new requests
     * @param tried - servers that earlier attempts of the request used
     * @param spec - their service; undefined if the configuration does not have it
     * @returns the server; undefined if none may get the request
     */
    public chooseServer(
        servers: readonly TrackedServer[],
        tried: ReadonlySet<TrackedServer>,
        spec: ServiceSpec | undefined,
    ): TrackedServer | undefined {
        const { runtime, settings } = this.options;
        const choice = {
            dataCentre: settings.dataCentre,
            random: runtime.random,
            maxStartsPerS: (server: TrackedServer) => this.maxStartsPerS(server),
            isWithinLimit: (server: TrackedServer) => this.limits.allows(server),
            isLimitCheckDue: (server: TrackedServer) => this.limits.isCheckDue(server),
            tried,
            spread: spec?.engine?.timing && this.spreadRule(servers, spec.name, spec.engine.timing),
        };
        return chooseServer(servers, choice, spec?.engine === undefined);
    }

    private spreadRule(
        servers: readonly TrackedServer[],
        service: ServiceName,
        timing: EngineTiming,
    ): SpreadRule {
        const { admissionQueue, passBudget } = this.service(service);
        const peerRunning = servers.reduce((sum, server) => sum + server.peerRunning, 0);
        return {
            expectedStarts: peerRunning * REPORT_AGE_MS / admissionQueue.meanDurationMs,
            excessOf: server => placementLoad(server, passBudget.requestsOf(server), timing),
        };
    }

    /**
     * Returns how many requests this instance may start at a backend server per second. The limit applies at
     * all times, because a server may turn cold before any instance knows.
     *
     * @param server - the server
     * @returns the limit; 0 where other instances hold all of it, infinite for a service without a bound
     */
    public maxStartsPerS({ entry: { id, service } }: TrackedServer): number {
        const coldPerS = this.options.store.configuration?.services.get(service)?.coldRequestsPerS ?? 0;
        if (coldPerS <= 0) {
            return Number.POSITIVE_INFINITY;
        }
        const { coldOvershoot, coldSlack } = this.bounds;
        const bound = Math.floor((coldPerS * coldOvershoot + coldSlack) * COLD_RATE_SHARE);
        return this.allotment.unitsOf(id, Math.max(1, bound));
    }

    /**
     * Returns how many idle connections this instance keeps to a backend server: none to one that leaves. A server
     * limits the total number of connections from all instances and resets those beyond it.
     *
     * @param server - the server
     */
    public maxIdleConnections(server: TrackedServer): number {
        if (this.options.directory.isLeaving(server)) {
            return 0;
        }
        const { id, service } = server.entry;
        const limit = this.options.store.configuration?.services.get(service)?.connectionLimit ?? 0;
        const total = Math.floor(limit * IDLE_CONNECTION_SHARE);
        return Math.min(MAX_IDLE_CONNECTIONS, this.allotment.unitsOf(`${id} connections`, total));
    }

    /**
     * Returns how many requests the model servers of a service may run at once, from all instances together: the slots
     * of the groups that are up, within the pass budget.
     *
     * @param service - the service
     * @returns the number of requests, not rounded
     */
    public servableRequests(service: ServiceName): number {
        const { passBudget } = this.service(service);
        return this.usableServers(service).reduce(
            (sum, server) => sum + Math.min(this.usableSlots(server), passBudget.requestsOf(server)),
            0,
        );
    }

    private usableServers(service: ServiceName): readonly TrackedServer[] {
        const candidates = this.options.directory.candidates(service);
        const usable = this.service(service).groups.usable(candidates);
        return usable.length > 0 ? usable : candidates;
    }

    private concurrencyLimit(service: ServiceName): number {
        const { peerDataCentres, settings } = this.options;
        const servers = this.usableServers(service);
        const sum = (value: (server: TrackedServer) => number): number =>
            servers.reduce((total, server) => total + value(server), 0);
        return concurrencyLimit({
            slots: this.servableRequests(service),
            ownRunning: sum(({ health }) => health.running),
            peerRunning: sum(({ peerRunning }) => peerRunning),
            share: shareOfFleet(settings.dataCentre, peerDataCentres()),
        });
    }

    /** Slots of a server that the requests which its limit lets through can occupy; none while it rests. */
    private usableSlots(server: TrackedServer): number {
        if (this.limits.pauseMs([server]) > 0) {
            return 0;
        }
        const { service, slots } = server.entry;
        const limitPerS = this.limits.limitOf(server);
        const meanRunS = this.service(service).admissionQueue.meanDurationMs / MS_PER_SECOND;
        return limitPerS === undefined ? slots : Math.min(slots, limitPerS * meanRunS);
    }

    private retryBudgetShare(
        service: ServiceName,
    ): { readonly retriesPerS: number; readonly capacity: number; } {
        const { retrySlack, retryWindowMs } = this.bounds;
        const slack = retrySlack * RETRY_SLACK_SHARE;
        return {
            capacity: this.allotment.unitsOf(service, Math.max(1, Math.floor(slack * BURST_SHARE))),
            retriesPerS: slack * (1 - BURST_SHARE) / this.options.fleet().size * MS_PER_SECOND
                / retryWindowMs,
        };
    }
}
