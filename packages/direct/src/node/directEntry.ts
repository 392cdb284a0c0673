/**
 * Assembles a direct entry: the listener for callers, the connections to backend servers, the watcher of the
 * platform and the exchange with other instances.
 *
 * @packageDocumentation
 */

import { closedCallersRecorder } from "@magnolialock/entry/src/node/callers/closedCallers.ts";
import { listenHttp } from "@magnolialock/entry/src/node/httpServer.ts";
import { callerBounds, DEFAULT_MACHINE } from "@magnolialock/entry/src/shared/callers/callerBounds.ts";
import {
    type Address,
    branded,
    errorMessage,
    openDatagramSocket,
    PauseDetector,
    ResourceScope,
    type ServiceName,
    sleep,
} from "@magnolialock/kernel";
import { Hono } from "hono";
import { setImmediate } from "node:timers/promises";
import { getHeapStatistics } from "node:v8";
import { callersClosed } from "../shared/callers/callerEvents.ts";
import { DirectContext, type DirectRuntime } from "../shared/directContext.ts";
import {
    answerUnsent,
    directPaused,
    directStarted,
    directStopClosing,
    directStopped,
    directStopping,
    directUnexpected,
} from "../shared/directEvents.ts";
import { GroupDirectory } from "../shared/groupDirectory.ts";
import { PeerExchange } from "../shared/peerExchange.ts";
import { CHANGE_BATCH_DELAY_MS, PlatformWatcher } from "../shared/platformWatcher.ts";
import { PublishedStateStore } from "../shared/publishedStateStore.ts";
import { refuseByHead, refuseCall, serveCall } from "../shared/serveCall.ts";
import { ServerDirectory } from "../shared/serverDirectory.ts";
import type { CallerReply, IncomingCall } from "../types/call.ts";
import type { CallHeaderNames } from "../types/callHeaders.ts";
import type { DirectSettings } from "../types/directSettings.ts";
import { type PublishedSource, SERVICE_SERVERS_PATH, type ServiceServers } from "../types/publishedState.ts";
import { type CallerListener, openCallerListener } from "./callerListener.ts";
import { createEntryMetrics } from "./entryMetrics.ts";
import { createServerGroupReader, fetchState, STATE_PATH } from "./peerClient.ts";
import type { PromMetrics } from "./promMetrics.ts";
import { ServerConnections } from "./serverConnections.ts";

/** Options of {@link startDirectEntry}. */
export interface DirectEntryOptions {
    /** Runtime of the process. */
    readonly runtime: DirectRuntime;
    /** Settings of the process. */
    readonly settings: DirectSettings;
    /** Header names of the installation. */
    readonly headers: CallHeaderNames;
    /** The platform's published state. */
    readonly source: PublishedSource;
    /** Path of the readiness check. */
    readonly readinessPath: string;
}

/** A running direct entry. */
export interface DirectEntry extends AsyncDisposable {
    /** Whether it is ready for requests. */
    readonly isReady: boolean;
    /**
     * Applies the settings that may change while the process runs: bounds and seeds.
     *
     * @param settings - the new settings
     */
    reload(settings: DirectSettings): void;
    /**
     * Stops gracefully: reports not ready at once and lets running requests finish within the grace period.
     */
    stop(): Promise<void>;
}

/** Path at which rank agents read the servers of their service, with the name of the service. */
const SERVICE_SERVERS_ROUTE = `${SERVICE_SERVERS_PATH}:service`;
const METRICS_PATH = "/metrics";
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
/** Time between adaptations of the retry budgets to the size of the fleet, in milliseconds. */
const BUDGET_RESIZE_PERIOD_MS = 1_000;
/**
 * Time after the signal to stop during which callers still connect, in milliseconds: the external balancer
 * removes an instance after two failed readiness checks, one second apart.
 */
const DEREGISTRATION_MS = 3_500;
/**
 * Time before the end of the grace period at which the process stops even if requests still run, in
 * milliseconds.
 */
const SHUTDOWN_MARGIN_MS = 400;
const STOP_POLL_MS = 25;
/**
 * Longest time that a signal to stop is taken to have waited for a process that had no processor time, in milliseconds. The
 * grace period runs from the signal, not from its handling.
 */
const MAX_SIGNAL_DELAY_MS = 1_000;
/** Turns of the event loop in which waiting connections are accepted and their requests are read. */
const TURNS_TO_READ = 3;
/** Timers may fire this early, in milliseconds. */
const TIMER_MARGIN_MS = 1;
/** Shortest and longest time for callers to take the last answers at the end of a stop, in milliseconds. */
const MIN_CLOSE_MS = 150;
const MAX_CLOSE_MS = 1_000;
/** Time for running responses on each internal port to end at the end of a stop, in milliseconds. */
const INTERNAL_CLOSE_TIMEOUT_MS = 50;

/** Creates the components that hold the published state and reach the backend servers. */
const createComponents = (
    options: DirectEntryOptions,
    exchange: () => PeerExchange,
    scope: ResourceScope,
) => {
    const { headers, runtime, settings, source } = options;
    const upstreams = scope.use(new ServerConnections(runtime.clock));
    const store = new PublishedStateStore({
        clock: runtime.clock,
        events: runtime.events,
        decode: (key, text) => source.decode(key, text),
    });
    scope.use(store);
    const watcher = scope.use(
        new PlatformWatcher({
            runtime,
            source,
            store,
            fleetSize: () => exchange().fleet.size,
            fleetWatches: () => exchange().watches,
            onSilence: origin => {
                // Connections to backend servers may have gone silent at the same moment.
                upstreams.closeAllIdle();
                if (origin === "own") {
                    exchange().announce();
                }
            },
        }),
    );
    const directory = new ServerDirectory({
        runtime,
        store,
        sinceOutageMs: () => Math.min(watcher.sinceOutageMs, store.sinceRestoredMs),
        changeDelayMs: CHANGE_BATCH_DELAY_MS,
        leavingHeader: headers.leaving,
    });
    return { store, watcher, directory, upstreams, settings };
};

const detectPauses = (
    { clock, events }: DirectRuntime,
    store: PublishedStateStore,
    watcher: PlatformWatcher,
): PauseDetector =>
    new PauseDetector({
        clock,
        onPause: gapMs => {
            events.emit(directPaused, { gapMs: Math.round(gapMs), revision: store.revision });
            watcher.restartCall();
        },
    });

const startBackgroundTasks = (
    context: DirectContext,
    watcher: PlatformWatcher,
    listener: CallerListener,
    scope: ResourceScope,
): void => {
    const { runtime, store } = context.options;
    const stopping = new AbortController();
    scope.defer(() => stopping.abort());
    store.onChange(() => {
        const { configuration } = store;
        if (configuration) {
            listener.applyLimits(configuration.configuration.limits);
        }
    });
    const resize = async (): Promise<void> => {
        while (!stopping.signal.aborted) {
            context.resizeRetryBudgets();
            await sleep(runtime.clock, BUDGET_RESIZE_PERIOD_MS, stopping.signal).catch(() => {});
        }
    };
    void resize();
    void watcher.run();
};

/** Sources of the readiness, state and metrics endpoints. */
interface OperatorEndpoints extends DirectEntryOptions {
    readonly isReady: () => boolean;
    readonly store: PublishedStateStore;
    readonly metrics: PromMetrics;
}

const serviceServers = (store: PublishedStateStore, name: string): ServiceServers => {
    const servers = [...store.servers().values()]
        .filter(({ service }) => service === name)
        .map(({ address, id }) => ({ id, address }));
    const spec = store.configuration?.services.get(branded<ServiceName>(name));
    return { servers, experts: spec?.engine?.experts };
};

const listenInternal = (app: Hono, address: Address): Promise<AsyncDisposable> =>
    listenHttp({ app, address, protocol: "http1", closeTimeoutMs: INTERNAL_CLOSE_TIMEOUT_MS });

/**
 * Serves readiness, the published state for other instances, the servers of a service for rank agents, and
 * metrics.
 */
const openOperatorEndpoints = async (endpoints: OperatorEndpoints, scope: ResourceScope): Promise<void> => {
    const { isReady, metrics, readinessPath, settings, store } = endpoints;
    const readiness = new Hono().get(
        readinessPath,
        context => context.body("", isReady() ? HTTP_OK : HTTP_UNAVAILABLE),
    );
    scope.use(await listenInternal(readiness, settings.readiness));
    const state = new Hono()
        .get(STATE_PATH, context => context.json(store.export()))
        .get(
            SERVICE_SERVERS_ROUTE,
            context => context.json(serviceServers(store, context.req.param("service") ?? "")),
        );
    scope.use(await listenInternal(state, settings.peers));
    if (settings.metrics) {
        const app = new Hono().get(
            METRICS_PATH,
            async context =>
                context.text(await metrics.text(), HTTP_OK, { "content-type": metrics.contentType }),
        );
        scope.use(await listenInternal(app, settings.metrics));
    }
};

/** Serves one request; an unexpected error breaks off the response and is logged. */
const serveSafely = async (context: DirectContext, call: IncomingCall, reply: CallerReply): Promise<void> => {
    try {
        await serveCall(context, call, reply);
    }
    catch (error) {
        const { headers, runtime } = context.options;
        const requestId = call.headers[headers.requestId];
        runtime.events.emit(directUnexpected, { requestId, error: errorMessage(error) });
        reply.abort();
    }
};

const openCallers = (context: DirectContext, metrics: PromMetrics): Promise<CallerListener> => {
    const { headers, runtime, settings } = context.options;
    return openCallerListener({
        clock: runtime.clock,
        address: settings.callers,
        serve: (call, reply) => serveSafely(context, call, reply),
        refuseByHead: head => refuseByHead(context, head),
        refuse: (call, reply, refusal) => refuseCall(context, call, reply, refusal),
        bounds: callerBounds(settings.machine ?? DEFAULT_MACHINE, getHeapStatistics().heap_size_limit),
        onClosed: closedCallersRecorder({
            clock: runtime.clock,
            count: cause => metrics.countClosedCaller(cause),
            log: closed => runtime.events.emit(callersClosed, closed),
        }),
        onUnsent: call => runtime.events.emit(answerUnsent, { requestId: call.headers[headers.requestId] }),
    });
};

/** Keeps serving until the balancer has removed this instance, then waits for the running requests. */
const stopEntry = async (
    context: DirectContext,
    listener: CallerListener,
    pauses: PauseDetector,
    scope: ResourceScope,
): Promise<void> => {
    const { clock, events } = context.options.runtime;
    const startMs = Math.max(pauses.noticedFromMs, clock.nowMs() - MAX_SIGNAL_DELAY_MS);
    const deadlineMs = startMs + context.bounds.graceMs - SHUTDOWN_MARGIN_MS;
    const lateFromMs = context.stop.begin(startMs, deadlineMs);
    listener.beginStop();
    events.emit(directStopping, { running: listener.running, graceMs: context.bounds.graceMs });
    await sleep(clock, lateFromMs - clock.nowMs() + TIMER_MARGIN_MS);
    context.cancelWaiters();
    await sleep(clock, Math.max(0, Math.min(startMs + DEREGISTRATION_MS, deadlineMs) - clock.nowMs()));
    // Timers run before sockets are read: after a pause of the process, requests and connections may wait there.
    for (let turn = 0; turn < TURNS_TO_READ; turn++) {
        await setImmediate();
    }
    listener.closeIdle();
    while (listener.running > 0 && clock.nowMs() < deadlineMs) {
        await sleep(clock, STOP_POLL_MS);
    }
    const unfinished = listener.running;
    if (unfinished > 0) {
        context.endRequests();
    }
    events.emit(directStopClosing, { unfinished, durationMs: Math.round(clock.nowMs() - startMs) });
    // Before the other components, so that no request is taken while they are closed.
    await listener.close(Math.max(MIN_CLOSE_MS, Math.min(MAX_CLOSE_MS, deadlineMs - clock.nowMs())));
    await scope[Symbol.asyncDispose]();
    events.emit(directStopped, { unfinished, durationMs: Math.round(clock.nowMs() - startMs) });
};

/** Opens and connects the components of an entry; the scope owns them. */
const assembleEntry = async (options: DirectEntryOptions, scope: ResourceScope): Promise<DirectEntry> => {
    const { headers, runtime, settings } = options;
    const { events } = runtime;
    const { directory, watcher, store, upstreams } = createComponents(options, () => exchange, scope);
    let isStopping = false;
    const isReady = (): boolean => !isStopping && exchange.hasJoined;
    const metrics = createEntryMetrics({
        store,
        upstreams,
        context: () => context,
        running: () => listener.running,
        alivePeers: () => exchange.aliveCount,
        callers: () => listener.account,
    });
    const context: DirectContext = new DirectContext({
        runtime,
        settings,
        headers,
        store,
        directory,
        upstreams,
        metrics,
        hasJoined: () => exchange.hasJoined,
        heardSources: () => ({
            storeHeardMs: watcher.sinceHeardMs,
            peers: exchange.heardPeers,
            loopDelayMs: pauses.longestDelayMs,
        }),
        fleet: () => exchange.fleet,
        peerDataCentres: () => exchange.aliveDataCentres,
    });
    const exchange: PeerExchange = new PeerExchange({
        runtime,
        settings,
        store,
        directory,
        services: () => context.serviceStates(),
        news: context.news,
        fetchState,
        // The platform has not told this instance: its connection may have gone silent.
        onFetched: () => watcher.restartCall(),
        storeWatch: watcher,
    });
    const pauses = scope.use(detectPauses(runtime, store, watcher));
    const listener = scope.use(await openCallers(context, metrics));
    await openOperatorEndpoints({ ...options, isReady, store, metrics }, scope);
    const socket = scope.use(
        await openDatagramSocket(settings.peers, (from, bytes) => exchange.receive(from, bytes)),
    );
    // Disposed of before the socket to which it sends.
    void scope.use(exchange).run(socket);
    void scope.use(new GroupDirectory(context, createServerGroupReader(settings))).run();
    startBackgroundTasks(context, watcher, listener, scope);
    events.emit(directStarted, { dataCentre: settings.dataCentre, callers: settings.callers });

    const stop = (): Promise<void> => {
        isStopping = true;
        return stopEntry(context, listener, pauses, scope);
    };
    return {
        get isReady() {
            return isReady();
        },
        reload: next => {
            context.bounds = next.bounds;
            context.resizeRetryBudgets();
            exchange.addSeeds(next.seeds);
        },
        stop,
        [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose](),
    };
};

/**
 * Starts a direct entry. If an address cannot be bound, those that were bound before are released.
 *
 * @param options - settings, platform and header names
 * @returns the running entry
 * @throws if an address cannot be bound
 */
export const startDirectEntry = async (options: DirectEntryOptions): Promise<DirectEntry> => {
    const scope = new ResourceScope();
    try {
        return await assembleEntry(options, scope);
    }
    catch (error) {
        await scope[Symbol.asyncDispose]();
        throw error;
    }
};
