/**
 * The agent: the only way to its backend server.
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
import { newIncarnation } from "./incarnation.ts";
import { watchLoad } from "./watchLoad.ts";
import { watchMetrics } from "./watchMetrics.ts";

/** Options of {@link createAgent}. */
export interface AgentOptions extends Omit<AgentContextOptions, "incarnation"> {
    /** Address to listen on. */
    readonly listen: Address;
    /** Other services to answer on the same address. */
    readonly services?: readonly ServiceBinding[];
    /** Longest time that a stop waits for running work, in milliseconds. */
    readonly drainTimeoutMs?: number;
    /** Gives up the wait for the address. */
    readonly signal?: AbortSignal;
}

/** A running agent. */
export interface Agent extends AsyncDisposable {
    /** State, for tests and reports. */
    readonly context: AgentContext;
    /** Refuses new work, finishes what runs, and ends. */
    stop(): Promise<void>;
}

const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
/** Time after a drain in which tickets and recalls still get a true answer, in milliseconds. */
const TICKET_LINGER_MS = 5_000;
const DRAIN_POLL_MS = 20;
/** Time for the last answers to reach the entries when calls were cut short, in milliseconds. */
const LAST_ANSWERS_MS = 500;
/** Time between two attempts to listen on a taken address, in milliseconds. */
const LISTEN_RETRY_MS = 200;

const isAddressTaken = (error: unknown): boolean =>
    (error instanceof Error && "code" in error && error.code === "EADDRINUSE")
    || errorMessage(error).includes("EADDRINUSE");

/** Listens; while another process has the address, waits until it is free. */
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

/** Waits until nothing runs or the time is over. */
const waitUntilIdle = async (runtime: Runtime, context: AgentContext, timeoutMs: number): Promise<void> => {
    const endMs = runtime.clock.nowMs() + timeoutMs;
    while (context.admission.running > 0 && runtime.clock.nowMs() < endMs) {
        await sleep(runtime.clock, DRAIN_POLL_MS);
    }
};

/** Finishes what runs; what is left after the longest time is ended, so that entries resume it elsewhere. */
const drain = async (runtime: Runtime, context: AgentContext, timeoutMs: number): Promise<void> => {
    context.beginStop();
    runtime.events.emit(agentDraining, { running: context.admission.running, timeoutMs });
    await waitUntilIdle(runtime, context, isFaultSeeded("agent.cut-off-at-stop") ? 0 : timeoutMs);
    const unfinished = context.admission.running;
    if (unfinished > 0) {
        runtime.events.emit(agentHandedOver, { unfinished });
        context.callEndings.forEach(end => end());
        await waitUntilIdle(runtime, context, LAST_ANSWERS_MS);
    }
    runtime.events.emit(agentStopped, { unfinished });
};

/**
 * Starts an agent.
 *
 * @param options - surroundings, identity, configuration and backend server
 * @returns the agent, once it listens
 */
export const createAgent = async (options: AgentOptions): Promise<Agent> => {
    const { runtime } = options;
    const scope = new ResourceScope();
    const context = scope.use(new AgentContext({ ...options, incarnation: newIncarnation(runtime) }));
    const tasks = new AbortController();
    scope.defer(() => tasks.abort());
    scope.use(options.configuration.onChange(() => context.noteConfiguration()));
    try {
        scope.use(await listenWhenFree(options, context));
    }
    catch (error) {
        await scope[Symbol.asyncDispose]();
        throw error;
    }
    context.inherited.begin();
    void watchLoad(context, tasks.signal);
    void watchMetrics(context, tasks.signal);
    runtime.events.emit(agentStarted, { server: options.server, incarnation: context.incarnation });
    const stop = async (): Promise<void> => {
        await drain(runtime, context, options.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS);
        if (context.mayHoldTickets) {
            await sleep(runtime.clock, TICKET_LINGER_MS);
        }
        context.endReports();
        await scope[Symbol.asyncDispose]();
    };
    return { context, stop, [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose]() };
};
