/**
 * What the tasks of one direct entry share.
 *
 * @packageDocumentation
 */

import { RetryBudget } from "@magnolialock/entry/src/shared/retryBudget.ts";
import type { DataCentreId, Runtime, ServiceName } from "@magnolialock/kernel";
import type { UpstreamClient } from "../types/call.ts";
import type { CallHeaderNames } from "../types/callHeaders.ts";
import type { DirectSettings, SafetyBounds } from "../types/directSettings.ts";
import { AdmissionQueue } from "./admissionQueue.ts";
import { CallerRetryDetector } from "./callerRetryDetector.ts";
import type { CallMetrics } from "./callMetrics.ts";
import { concurrencyLimit, shareOfFleet } from "./concurrencyLimit.ts";
import { GroupHealth } from "./groupHealth.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";
import type { ServerDirectory } from "./serverDirectory.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Surroundings of a direct entry; it makes no calls over connect. */
export type DirectRuntime = Pick<Runtime, "clock" | "random" | "events">;

/** Options of a {@link DirectContext}. */
export interface DirectContextOptions {
    /** Surroundings of the process. */
    readonly runtime: DirectRuntime;
    /** Settings of the process. */
    readonly settings: DirectSettings;
    /** Header names of the installation. */
    readonly headers: CallHeaderNames;
    /** What is published. */
    readonly store: PublishedStateStore;
    /** Backend servers. */
    readonly directory: ServerDirectory;
    /** Calls to backend servers. */
    readonly upstreams: UpstreamClient;
    /** Counters and histograms. */
    readonly metrics: CallMetrics;
    /** Largest number of instances that may be alive. */
    readonly fleetSize: () => number;
    /** Data centres of the other instances that were heard just now. */
    readonly peerDataCentres: () => readonly DataCentreId[];
}

/** What is known of one service. */
export interface ServiceState {
    /** Whether its group runs. */
    readonly group: GroupHealth;
    /** Requests that may be sent once more. */
    readonly retryBudget: RetryBudget;
    /** Requests that wait for a place at its model servers. */
    readonly admissionQueue: AdmissionQueue;
    /** Which requests came back after a refusal. */
    readonly callerRetries: CallerRetryDetector;
}

/** Share of a successful request that may be spent on retries, below the installation's ratio as that counts all instances. */
const RETRY_RATIO_SHARE = 0.75;
/** Share of the installation's slack that is spent: what instances count apart may fall into one window. */
const RETRY_SLACK_SHARE = 0.7;
/** Half of the slack is saved up for bursts, the rest comes evenly over the window. */
const BURST_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
/** Share of the cold bound that is used: clocks of the instances cut seconds differently. */
const COLD_RATE_SHARE = 0.9;

/** Share of a server's connections that idle ones may take; the others are for bursts. */
const IDLE_CONNECTION_SHARE = 0.5;
/** More idle connections are never used again before they time out. */
const MAX_IDLE_CONNECTIONS = 8;

/** State of one direct entry. */
export class DirectContext {
    /** Options that it was created with. */
    public readonly options: DirectContextOptions;
    /** Bounds in force; a reload of the settings may change them. */
    public bounds: SafetyBounds;
    private readonly services = new Map<ServiceName, ServiceState>();

    /** @param options - parts of the entry */
    public constructor(options: DirectContextOptions) {
        this.options = options;
        this.bounds = options.settings.bounds;
    }

    /**
     * State of a service.
     *
     * @param service - its name
     */
    public service(service: ServiceName): ServiceState {
        let state = this.services.get(service);
        if (!state) {
            const { clock, events, random } = this.options.runtime;
            const { retryRatio } = this.bounds;
            state = {
                group: new GroupHealth({ clock, events, random, service }),
                callerRetries: new CallerRetryDetector(),
                admissionQueue: new AdmissionQueue({
                    clock,
                    random,
                    limit: () => this.concurrencyLimit(service),
                }),
                retryBudget: new RetryBudget({
                    clock,
                    retriesPerSuccess: retryRatio * RETRY_RATIO_SHARE,
                    ...this.retryBudgetShare(),
                }),
            };
            this.services.set(service, state);
        }
        return state;
    }

    /** All services that were used, by name. */
    public serviceStates(): ReadonlyMap<ServiceName, ServiceState> {
        return this.services;
    }

    /** Adapts the shares of the fleet's bounds to the number of instances. */
    public resizeRetryBudgets(): void {
        const share = this.retryBudgetShare();
        for (const { retryBudget } of this.services.values()) {
            retryBudget.resize(share);
        }
    }

    /**
     * Most requests that this instance may start at one backend server of a service within a second. It holds at all
     * times, for a server may turn cold before anyone knows.
     *
     * @param service - the service
     */
    public maxStartsPerS(service: ServiceName): number {
        const coldPerS = this.options.store.configuration?.services.get(service)?.coldRequestsPerS ?? 0;
        if (coldPerS <= 0) {
            return Number.POSITIVE_INFINITY;
        }
        const { coldOvershoot, coldSlack } = this.bounds;
        const bound = (coldPerS * coldOvershoot + coldSlack) * COLD_RATE_SHARE;
        return Math.max(1, Math.floor(bound / this.options.fleetSize()));
    }

    /**
     * Most idle connections that this instance keeps to one backend server of a service. Servers cap the connections of
     * all callers together and reset those beyond.
     *
     * @param service - the service
     */
    public maxIdleConnections(service: ServiceName): number {
        const limit = this.options.store.configuration?.services.get(service)?.connectionLimit ?? 0;
        const share = Math.floor(limit * IDLE_CONNECTION_SHARE / this.options.fleetSize());
        return Math.min(MAX_IDLE_CONNECTIONS, Math.max(1, share));
    }

    private concurrencyLimit(service: ServiceName): number {
        const { peerDataCentres, directory, settings } = this.options;
        const servers = directory.candidates(service);
        const sum = (value: (server: TrackedServer) => number): number =>
            servers.reduce((total, server) => total + value(server), 0);
        return concurrencyLimit({
            slots: sum(({ entry }) => entry.slots),
            ownRunning: sum(({ health }) => health.running),
            peerRunning: sum(({ peerRunning }) => peerRunning),
            share: shareOfFleet(settings.dataCentre, peerDataCentres()),
        });
    }

    private retryBudgetShare(): { readonly retriesPerS: number; readonly capacity: number; } {
        const { retrySlack, retryWindowMs } = this.bounds;
        const share = retrySlack * RETRY_SLACK_SHARE / this.options.fleetSize();
        return {
            capacity: Math.max(1, share * BURST_SHARE),
            retriesPerS: share * (1 - BURST_SHARE) * MS_PER_SECOND / retryWindowMs,
        };
    }
}
