/**
 * The entry: accepts requests of callers and routes them to backend servers.
 *
 * @packageDocumentation
 */

import { TicketIssuer } from "@magnolialock/agent";
import type { ConfigurationStore } from "@magnolialock/control";
import {
    type DataCentreId,
    type InstanceId,
    PauseDetector,
    ResourceScope,
    type Runtime,
    type ServiceName,
    sleep,
} from "@magnolialock/kernel";
import type { AnswerEvent, CallerRequest } from "../types/caller.ts";
import { AccountLimiter, type EntryCount } from "./accountLimiter.ts";
import { AgentDirectory } from "./agentDirectory.ts";
import type { EntryContext } from "./entryContext.ts";
import { entryDraining, entryPaused, entryStarted, entryStopped } from "./entryEvents.ts";
import { issueTicket } from "./issueTicket.ts";
import { ranStateWithoutAttempt } from "./ranStateWithoutAttempt.ts";
import { ReportedEntryCount } from "./reportedEntryCount.ts";
import { RetryBudget } from "./retryBudget.ts";
import { routingPolicies } from "./routingPolicy.ts";
import { serveRequest } from "./serveRequest.ts";

/** Options of {@link createEntry}. */
export interface EntryOptions {
    /** Runtime of the process: clock, random numbers, network, events and metrics. */
    readonly runtime: Runtime;
    /** Instance name of the entry. */
    readonly instance: InstanceId;
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Name of the routing policy. */
    readonly policy?: string;
    /** Number of entries that share the limits of client accounts; by default as reported by agents. */
    readonly entryCount?: EntryCount | undefined;
    /** Longest time that {@link Entry.stop} waits for requests in flight, in milliseconds. */
    readonly drainTimeoutMs?: number;
}

/** A running entry. */
export interface Entry extends AsyncDisposable {
    /** Internal state, for tests and reports. */
    readonly context: EntryContext;
    /** Number of requests in flight. */
    readonly running: number;
    /** Whether the entry accepts requests: it has a configuration and is not stopping. */
    readonly isReady: boolean;
    /**
     * Serves one request.
     *
     * @param request - the request
     * @param signal - aborts when the caller disconnects
     * @param consume - receives the events of the answer; the last one is `end` or `failed`
     */
    serve(request: CallerRequest, signal: AbortSignal, consume: (event: AnswerEvent) => void): Promise<void>;
    /**
     * Issues a ticket for a non-repeatable request before its first attempt.
     *
     * @param service - service that the request will be sent to
     * @returns the ticket; empty when no backend server can accept the request now
     */
    issueTicket(service: ServiceName): string;
    /** Drains the entry and stops it: refuses new requests and waits for those in flight. */
    stop(): Promise<void>;
}

const DEFAULT_POLICY = "adaptive";
const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
const DRAIN_POLL_MS = 20;
/** Requests read within this time after a pause may have arrived during the pause, in milliseconds. */
const PAUSE_BACKLOG_MS = 500;

const createContext = (
    options: EntryOptions,
    scope: ResourceScope,
    stopSignal: AbortSignal,
): EntryContext => {
    const { runtime } = options;
    const agents = scope.use(
        new AgentDirectory({
            runtime,
            entry: options.instance,
            dataCentre: options.dataCentre,
            configuration: options.configuration,
        }),
    );
    const policy = routingPolicies.get(options.policy ?? DEFAULT_POLICY).create();
    const tickets = new TicketIssuer(runtime, options.instance);
    let resumedMs = Number.NEGATIVE_INFINITY;
    const pauseDetector = scope.use(
        new PauseDetector({
            clock: runtime.clock,
            onPause: gapMs => {
                runtime.events.emit(entryPaused, { gapMs: Math.round(gapMs) });
                agents.invalidateStates();
                resumedMs = runtime.clock.nowMs();
            },
        }),
    );
    const entryCount = options.entryCount ?? new ReportedEntryCount(agents);
    return {
        ...options,
        agents,
        policy,
        tickets,
        pauseDetector,
        stopSignal,
        hasRecentlyResumed: () => runtime.clock.nowMs() - resumedMs < PAUSE_BACKLOG_MS,
        accountLimiter: new AccountLimiter({ clock: runtime.clock, entryCount }),
        retryBudgets: {
            urgent: new RetryBudget({ clock: runtime.clock }),
            ordinary: new RetryBudget({ clock: runtime.clock }),
        },
    };
};

/**
 * Starts an entry.
 *
 * @param options - runtime, identity, configuration and routing policy
 * @returns the entry
 */
export const createEntry = (options: EntryOptions): Entry => {
    const { runtime } = options;
    const scope = new ResourceScope();
    const stopController = new AbortController();
    const context = createContext(options, scope, stopController.signal);
    const drainTimeoutMs = options.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS;
    let running = 0;
    let isStopping = false;
    runtime.events.emit(entryStarted, { dataCentre: options.dataCentre, policy: context.policy.name });

    const serve: Entry["serve"] = async (request, signal, consume) => {
        if (isStopping) {
            const message = "the entry is stopping: send the request again, to another entry";
            consume({
                kind: "failed",
                failure: {
                    code: "stopping",
                    ran: ranStateWithoutAttempt(request.ticket),
                    message,
                    retryAfterMs: 0,
                },
            });
            return;
        }
        running++;
        try {
            await serveRequest(context, request, AbortSignal.any([signal, stopController.signal]), consume);
        }
        finally {
            running--;
        }
    };

    const stop = async (): Promise<void> => {
        isStopping = true;
        runtime.events.emit(entryDraining, { running });
        const endMs = runtime.clock.nowMs() + drainTimeoutMs;
        while (running > 0 && runtime.clock.nowMs() < endMs) {
            await sleep(runtime.clock, DRAIN_POLL_MS);
        }
        const unfinished = running;
        stopController.abort();
        // Lets the aborted requests report a failure to their callers before the agent peers are disposed.
        await sleep(runtime.clock, 0);
        await scope[Symbol.asyncDispose]();
        runtime.events.emit(entryStopped, { unfinished });
    };

    return {
        context,
        serve,
        issueTicket: service => isStopping ? "" : issueTicket(context, service),
        stop,
        get running() {
            return running;
        },
        get isReady() {
            return !isStopping && options.configuration.current !== undefined;
        },
        [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose](),
    };
};
