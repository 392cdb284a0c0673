/**
 * The entry: takes callers' requests and finds backend servers for them.
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
import { LiveEntryCount } from "./liveEntryCount.ts";
import { RetryBudget } from "./retryBudget.ts";
import { routingPolicies } from "./routingPolicy.ts";
import { serveRequest } from "./serveRequest.ts";
import { unservedRan } from "./unservedRan.ts";

/** Options of {@link createEntry}. */
export interface EntryOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Name of the entry. */
    readonly instance: InstanceId;
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Name of the routing policy. */
    readonly policy?: string;
    /** How many entries share the limits of client accounts; by default what the agents report. */
    readonly entryCount?: EntryCount | undefined;
    /** Longest time that a stop waits for running requests, in milliseconds. */
    readonly drainTimeoutMs?: number;
}

/** A running entry. */
export interface Entry extends AsyncDisposable {
    /** State, for tests and reports. */
    readonly context: EntryContext;
    /** Requests that run. */
    readonly running: number;
    /** Whether it takes requests: it has a configuration and is not stopping. */
    readonly isReady: boolean;
    /**
     * Serves one request.
     *
     * @param request - the request
     * @param signal - aborts when the caller is gone
     * @param consume - gets the answer's pieces; the last is `end` or `failed`
     */
    serve(request: CallerRequest, signal: AbortSignal, consume: (event: AnswerEvent) => void): Promise<void>;
    /**
     * Issues a ticket for a request that may not be repeated, before its first try.
     *
     * @param service - service that the request is for
     * @returns the ticket; empty when no backend server can take the request now
     */
    issueTicket(service: ServiceName): string;
    /** Refuses new requests, finishes what runs, and ends. */
    stop(): Promise<void>;
}

const DEFAULT_POLICY = "adaptive";
const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
const DRAIN_POLL_MS = 20;
/** Time after a pause in which requests are read that arrived during it, in milliseconds. */
const BACKLOG_AFTER_PAUSE_MS = 500;

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
    let awakeMs = Number.NEGATIVE_INFINITY;
    const pauseDetector = scope.use(
        new PauseDetector({
            clock: runtime.clock,
            onPause: gapMs => {
                runtime.events.emit(entryPaused, { gapMs: Math.round(gapMs) });
                agents.expireViews();
                awakeMs = runtime.clock.nowMs();
            },
        }),
    );
    const entryCount = options.entryCount ?? new LiveEntryCount(agents);
    return {
        ...options,
        agents,
        policy,
        tickets,
        pauseDetector,
        stopSignal,
        isJustAwake: () => runtime.clock.nowMs() - awakeMs < BACKLOG_AFTER_PAUSE_MS,
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
 * @param options - surroundings, identity, configuration and policy
 * @returns the entry
 */
export const createEntry = (options: EntryOptions): Entry => {
    const { runtime } = options;
    const scope = new ResourceScope();
    const stopping = new AbortController();
    const context = createContext(options, scope, stopping.signal);
    const drainTimeoutMs = options.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS;
    let running = 0;
    let isStopping = false;
    runtime.events.emit(entryStarted, { dataCentre: options.dataCentre, policy: context.policy.name });

    const serve: Entry["serve"] = async (request, signal, consume) => {
        if (isStopping) {
            const message = "the entry is stopping: send the request again, to another entry";
            consume({
                kind: "failed",
                failure: { code: "stopping", ran: unservedRan(request.ticket), message, retryAfterMs: 0 },
            });
            return;
        }
        running++;
        try {
            await serveRequest(context, request, AbortSignal.any([signal, stopping.signal]), consume);
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
        stopping.abort();
        // The tasks that were given up answer their callers before their peers go away.
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
