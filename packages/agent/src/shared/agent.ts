/**
 * Start and stop of the agent, the sidecar through which all calls to its backend server pass.
 *
 * @packageDocumentation
 */

import {
    type Address,
    errorMessage,
    isFaultSeeded,
    ResourceScope,
    type Runtime,
    type ServiceBinding,
    sleep,
} from "@magnolialock/kernel";
import { AgentContext, type AgentContextOptions } from "./agentContext.ts";
import {
    agentAddressTaken,
    agentDraining,
    agentHandedOver,
    agentStarted,
    agentStopped,
} from "./agentEvents.ts";
import { createAgentService } from "./agentService.ts";
import { createIncarnationId } from "./incarnation.ts";
import { pollLoad } from "./pollLoad.ts";
import { recordGauges } from "./recordGauges.ts";

/** Options of {@link createAgent}. */
export interface AgentOptions extends Omit<AgentContextOptions, "incarnation"> {
    /** Address on which the agent listens. */
    readonly listen: Address;
    /** Further services to serve on the same address. */
    readonly services?: readonly ServiceBinding[];
    /** Longest time that a stop waits for running calls, in milliseconds. */
    readonly drainTimeoutMs?: number;
    /** Cancels the wait for the address. */
    readonly signal?: AbortSignal;
}

/** A running agent. */
export interface Agent extends AsyncDisposable {
    /** State of the agent, for tests and status reports. */
    readonly context: AgentContext;
    /** Refuses new calls, waits for the running ones up to the drain timeout, then releases all resources. */
    stop(): Promise<void>;
}

const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
/** Time after a drain in which ticket retries and recalls still get the true outcome, in milliseconds. */
const TICKET_LINGER_MS = 5_000;
const DRAIN_POLL_INTERVAL_MS = 20;
/** Time for the final events of cancelled calls to reach the entries, in milliseconds. */
const FINAL_EVENTS_TIMEOUT_MS = 500;
/** Delay before another attempt to listen on an address that is in use, in milliseconds. */
const LISTEN_RETRY_MS = 200;

const isAddressTaken = (error: unknown): boolean =>
    (error instanceof Error && "code" in error && error.code === "EADDRINUSE")
    || errorMessage(error).includes("EADDRINUSE");

/** Listens on the address; while another process uses it, retries until it is free. */
const listenWhenFree = async (options: AgentOptions, context: AgentContext): Promise<AsyncDisposable> => {
    const { network, clock, events } = options.runtime;
    for (let attempt = 1;; attempt++) {
        try {
            return await network.listen(options.listen, [
                createAgentService(context),
                ...(options.services ?? []),
            ]);
        }
        catch (error) {
            if (!isAddressTaken(error)) {
                throw error;
            }
            if (attempt === 1) {
                events.emit(agentAddressTaken, { address: options.listen });
            }
        }
        await sleep(clock, LISTEN_RETRY_MS, options.signal);
    }
};

/** Waits until no call runs or the timeout is over. */
const waitUntilIdle = async (runtime: Runtime, context: AgentContext, timeoutMs: number): Promise<void> => {
    const endMs = runtime.clock.nowMs() + timeoutMs;
    while (context.admission.running > 0 && runtime.clock.nowMs() < endMs) {
        await sleep(runtime.clock, DRAIN_POLL_INTERVAL_MS);
    }
};

/** Waits for the running calls; cancels those left at the timeout, so that entries resume them elsewhere. */
const drain = async (runtime: Runtime, context: AgentContext, timeoutMs: number): Promise<void> => {
    context.beginStop();
    runtime.events.emit(agentDraining, { running: context.admission.running, timeoutMs });
    await waitUntilIdle(runtime, context, isFaultSeeded("agent.cut-off-at-stop") ? 0 : timeoutMs);
    const unfinished = context.admission.running;
    if (unfinished > 0) {
        runtime.events.emit(agentHandedOver, { unfinished });
        context.callCancellers.forEach(cancel => cancel());
        await waitUntilIdle(runtime, context, FINAL_EVENTS_TIMEOUT_MS);
    }
    runtime.events.emit(agentStopped, { unfinished });
};

/**
 * Starts an agent.
 *
 * @param options - runtime, identity, configuration and backend server
 * @returns the agent, once it listens on its address
 */
export const createAgent = async (options: AgentOptions): Promise<Agent> => {
    const { runtime } = options;
    const scope = new ResourceScope();
    const context = scope.use(new AgentContext({ ...options, incarnation: createIncarnationId(runtime) }));
    const tasks = new AbortController();
    scope.defer(() => tasks.abort());
    scope.use(options.configuration.onChange(() => context.handleConfigurationChange()));
    try {
        scope.use(await listenWhenFree(options, context));
    }
    catch (error) {
        await scope[Symbol.asyncDispose]();
        throw error;
    }
    context.inheritedLoad.resetStartTime();
    void pollLoad(context, tasks.signal);
    void recordGauges(context, tasks.signal);
    runtime.events.emit(agentStarted, { server: options.server, incarnation: context.incarnation });
    const stop = async (): Promise<void> => {
        await drain(runtime, context, options.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS);
        if (context.acceptsTickets) {
            await sleep(runtime.clock, TICKET_LINGER_MS);
        }
        context.closeEntryStreams();
        await scope[Symbol.asyncDispose]();
    };
    return { context, stop, [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose]() };
};
