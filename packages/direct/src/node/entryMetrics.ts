/**
 * Metrics of a direct entry: connects the gauges to the components that they read.
 *
 * @packageDocumentation
 */

import type { DirectContext } from "../shared/directContext.ts";
import type { PublishedStateStore } from "../shared/publishedStateStore.ts";
import type { CallerListener } from "./callerListener.ts";
import { createPromMetrics, type PromMetrics } from "./promMetrics.ts";
import type { ServerConnections } from "./serverConnections.ts";

/** What the metrics of an entry read; some of it is created after them. */
export interface MetricsSources {
    readonly store: PublishedStateStore;
    readonly upstreams: ServerConnections;
    readonly context: () => DirectContext;
    readonly running: () => number;
    readonly alivePeers: () => number;
    readonly callers: () => CallerListener["account"];
}

const sumOf = <T>(items: readonly T[], value: (item: T) => number): number =>
    items.reduce((sum, item) => sum + value(item), 0);

/**
 * Creates the metrics of an entry.
 *
 * @param sources - what the gauges read
 */
export const createEntryMetrics = ({ context, store, upstreams, ...counts }: MetricsSources): PromMetrics =>
    createPromMetrics({
        ...counts,
        era: () => store.era,
        revision: () => store.revision,
        storeReturns: () => store.returns,
        missingItems: () => store.missingCount,
        configurationVersion: () => store.configuration?.configuration.version ?? 0,
        openedConnections: () => upstreams.opened,
        limitedServers: () => context().limits.size,
        restingServers: () => context().limits.restingCount,
        passLimitedGroups: () =>
            sumOf([...context().serviceStates().values()], ({ passBudget }) => passBudget.limitedGroups),
        servableRequests: () =>
            sumOf(
                store.configuration?.configuration.services.filter(({ engine }) => engine) ?? [],
                ({ name }) => context().servableRequests(name),
            ),
        unreadPromptTokens: () =>
            sumOf([...context().options.directory.all()], server => server.unreadPromptTokens),
        quarantinedParts: () => context().quarantine.parts.length,
        quarantinedRequests: () => context().quarantine.requests.length,
        waitingCalls: () =>
            sumOf([...context().serviceStates().values()], ({ admissionQueue }) => admissionQueue.waiting),
        refusedAtOnce: () =>
            sumOf(
                [...context().serviceStates().values()],
                ({ admissionQueue }) => admissionQueue.refusedAtOnceCount,
            ),
    });
