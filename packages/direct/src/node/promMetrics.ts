/**
 * Prometheus metrics: counters, gauges and latency histograms.
 *
 * @packageDocumentation
 */

import type { CallerAccount, CloseCause } from "@magnolialock/entry/src/shared/callers/callerAccount.ts";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { CallMetrics } from "../shared/callMetrics.ts";

/** Functions that read the values of gauges when metrics are collected. */
export interface GaugeReaders {
    /** Number of running requests. */
    readonly running: () => number;
    /** Number of other live instances. */
    readonly alivePeers: () => number;
    /** Known era of the platform's store. */
    readonly era: () => number;
    /** Returns of the store from an older copy that were noticed. */
    readonly storeReturns: () => number;
    /** Items that are kept although the store lacks them since such a return. */
    readonly missingItems: () => number;
    /** Known revision of the published state. */
    readonly revision: () => number;
    /** Version of the configuration in force; 0 before the first. */
    readonly configurationVersion: () => number;
    /** Number of connections to backend servers opened so far. */
    readonly openedConnections: () => number;
    /** Number of backend servers that name a limit. */
    readonly limitedServers: () => number;
    /** Number of backend servers that have asked this instance for a pause. */
    readonly restingServers: () => number;
    /** Number of groups of model servers whose pass budget applies. */
    readonly passLimitedGroups: () => number;
    /** Requests that the model servers of all services may run at once, from all instances together. */
    readonly servableRequests: () => number;
    /** Prompt tokens of this instance's requests that servers have not read yet. */
    readonly unreadPromptTokens: () => number;
    /** Number of prompt parts in quarantine. */
    readonly quarantinedParts: () => number;
    /** Number of whole requests in quarantine. */
    readonly quarantinedRequests: () => number;
    /** What the process holds for callers. */
    readonly callers: () => CallerAccount;
    /** Number of requests that wait for a slot at model servers. */
    readonly waitingCalls: () => number;
    /** Number of requests refused at once so far, because more urgent ones would have made them late. */
    readonly refusedAtOnce: () => number;
}

/**
 * Upper bounds of the latency buckets, in seconds; they are densest around the targets of status reads and
 * first tokens.
 */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8];
const MS_PER_SECOND = 1_000;

/** Metrics of one process. */
export interface PromMetrics extends CallMetrics {
    /** All metrics, in the Prometheus text format. */
    text(): Promise<string>;
    /**
     * Counts a connection of a caller that was closed because of what is held.
     *
     * @param cause - why
     */
    countClosedCaller(cause: CloseCause): void;
    /** Media type of the text. */
    readonly contentType: string;
}

const registerGauges = (registry: Registry, readers: GaugeReaders): void => {
    const gauge = (name: string, help: string, read: () => number): void => {
        new Gauge({
            name,
            help,
            registers: [registry],
            collect() {
                this.set(read());
            },
        });
    };
    gauge("magnolialock_calls_running", "Running requests", readers.running);
    gauge("magnolialock_peers", "Other live instances", readers.alivePeers);
    gauge("magnolialock_platform_era", "Known era of the platform's store", readers.era);
    gauge(
        "magnolialock_platform_returns",
        "Returns of the platform's store from an older copy that were noticed",
        readers.storeReturns,
    );
    gauge(
        "magnolialock_platform_missing_items",
        "Items kept although the platform's store lacks them since it returned from an older copy",
        readers.missingItems,
    );
    gauge("magnolialock_platform_revision", "Known revision of the published state", readers.revision);
    gauge(
        "magnolialock_configuration_version",
        "Version of the configuration in force",
        readers.configurationVersion,
    );
    gauge(
        "magnolialock_connections_opened",
        "Connections opened to backend servers",
        readers.openedConnections,
    );
    gauge("magnolialock_limited_servers", "Backend servers that name a limit", readers.limitedServers);
    gauge("magnolialock_resting_servers", "Backend servers that asked for a pause", readers.restingServers);
    gauge(
        "magnolialock_pass_limited_groups",
        "Groups of model servers whose pass budget applies",
        readers.passLimitedGroups,
    );
    gauge(
        "magnolialock_servable_requests",
        "Requests that the model servers may run at once, from all instances together",
        readers.servableRequests,
    );
    gauge(
        "magnolialock_unread_prompt_tokens",
        "Prompt tokens of own requests that servers have not read yet",
        readers.unreadPromptTokens,
    );
    gauge("magnolialock_quarantined_parts", "Prompt parts in quarantine", readers.quarantinedParts);
    gauge("magnolialock_quarantined_requests", "Whole requests in quarantine", readers.quarantinedRequests);
    const { callers } = readers;
    gauge("magnolialock_caller_bytes", "Bytes held for callers", () => callers().bytes);
    gauge("magnolialock_caller_bytes_limit", "Most bytes held for callers", () => callers().bounds.bytes);
    gauge("magnolialock_caller_heap_bytes", "Heap held for callers", () => callers().heapBytes);
    gauge(
        "magnolialock_caller_heap_bytes_limit",
        "Most heap held for callers",
        () => callers().bounds.heapBytes,
    );
    gauge("magnolialock_caller_connections", "Connections of callers", () => callers().connections);
    gauge(
        "magnolialock_caller_connections_limit",
        "Most connections of callers",
        () => callers().bounds.connections,
    );
    gauge(
        "magnolialock_calls_waiting",
        "Requests that wait for a slot at model servers",
        readers.waitingCalls,
    );
    gauge(
        "magnolialock_calls_refused_at_once",
        "Requests refused at once because more urgent ones would have made them late",
        readers.refusedAtOnce,
    );
};

/**
 * Creates the metrics.
 *
 * @param readers - functions that read the values of gauges
 */
export const createPromMetrics = (readers: GaugeReaders): PromMetrics => {
    const registry = new Registry();
    const registers = [registry];
    const calls = new Counter({
        name: "magnolialock_calls_total",
        help: "Finished requests",
        labelNames: ["result", "service", "status"],
        registers,
    });
    const durations = new Histogram({
        name: "magnolialock_call_duration_seconds",
        help: "Time from the receipt of a request to the end of its response",
        labelNames: ["result", "service"],
        buckets: LATENCY_BUCKETS_S,
        registers,
    });
    const firstBytes = new Histogram({
        name: "magnolialock_first_byte_seconds",
        help: "Time from the receipt of a request to the first byte of its response",
        labelNames: ["service"],
        buckets: LATENCY_BUCKETS_S,
        registers,
    });
    const attempts = new Counter({
        name: "magnolialock_attempts_total",
        help: "Attempts at backend servers",
        labelNames: ["service", "result"],
        registers,
    });
    const crashReports = new Counter({
        name: "magnolialock_crash_reports_total",
        help:
            "Requests of this instance that ended with their backend server before their answer was under way",
        registers,
    });
    const quarantined = new Counter({
        name: "magnolialock_quarantined_calls_total",
        help: "Requests refused because they or a part of their prompt are in quarantine",
        registers,
    });
    const unverifiedEnds = new Counter({
        name: "magnolialock_unverified_ends_total",
        help: "Answers that ended with their connection, by what decided whether they are complete",
        labelNames: ["evidence"],
        registers,
    });
    const closedCallers = new Counter({
        name: "magnolialock_callers_closed_total",
        help: "Connections of callers closed because of what they hold",
        labelNames: ["cause"],
        registers,
    });
    registerGauges(registry, readers);
    return {
        countCall: (result, service, status, durationMs) => {
            calls.inc({ result, service, status });
            durations.observe({ result, service }, durationMs / MS_PER_SECOND);
        },
        observeFirstByte: (service, latencyMs) => firstBytes.observe({ service }, latencyMs / MS_PER_SECOND),
        countAttempt: (service, result) => attempts.inc({ service, result }),
        countCrashReport: () => crashReports.inc(),
        countQuarantined: () => quarantined.inc(),
        countUnverifiedEnd: evidence => unverifiedEnds.inc({ evidence }),
        countClosedCaller: cause => closedCallers.inc({ cause }),
        text: () => registry.metrics(),
        contentType: registry.contentType,
    };
};
