/**
 * The agent: the only way to its backend server.
 *
 * @packageDocumentation
 */

import type { ConfigurationStore } from "@magnolialock/control";
import {
    type Address,
    type BackendServerId,
    branded,
    type IncarnationId,
    ResourceScope,
    type Runtime,
    sleep,
} from "@magnolialock/kernel";
import type { Backend } from "../types/backend.ts";
import { AgentContext } from "./agentContext.ts";
import { agentDraining, agentStarted, agentStopped } from "./agentEvents.ts";
import { createAgentService } from "./agentService.ts";

/** Options of {@link createAgent}. */
export interface AgentOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Backend server that the agent stands beside. */
    readonly server: BackendServerId;
    /** Address to listen on. */
    readonly listen: Address;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** The backend server. */
    readonly backend: Backend;
    /** Longest time that a stop waits for running work, in milliseconds. */
    readonly drainTimeoutMs?: number;
    /** Whether calls wait for a slot; only experiments that measure what admission brings switch it off. */
    readonly hasAdmissionControl?: boolean;
}

/** A running agent. */
export interface Agent extends AsyncDisposable {
    /** State, for tests and reports. */
    readonly context: AgentContext;
    /** Refuses new work, finishes what runs, and ends. */
    stop(): Promise<void>;
}

const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
const DRAIN_POLL_MS = 20;

const newIncarnation = (runtime: Runtime): IncarnationId =>
    branded<IncarnationId>(
        `${Math.floor(runtime.clock.wallMs()).toString(36)}-${
            runtime.random.nextInt(0, 0x7fffffff).toString(36)
        }`,
    );

/**
 * Starts an agent.
 *
 * @param options - surroundings, identity, configuration and backend server
 * @returns the agent, once it listens
 */
export const createAgent = async (options: AgentOptions): Promise<Agent> => {
    const { runtime } = options;
    const context = new AgentContext({ ...options, incarnation: newIncarnation(runtime) });
    const scope = new ResourceScope();
    scope.use(options.configuration.onChange(() => context.admission.admitWaiting()));
    scope.use(await runtime.network.listen(options.listen, [createAgentService(context)]));
    runtime.events.emit(agentStarted, { server: options.server, incarnation: context.incarnation });
    const drainTimeoutMs = options.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS;

    const stop = async (): Promise<void> => {
        context.beginStop();
        runtime.events.emit(agentDraining, { running: context.admission.running });
        const endMs = runtime.clock.nowMs() + drainTimeoutMs;
        while (context.admission.running > 0 && runtime.clock.nowMs() < endMs) {
            await sleep(runtime.clock, DRAIN_POLL_MS);
        }
        await scope[Symbol.asyncDispose]();
        runtime.events.emit(agentStopped, { unfinished: context.admission.running });
    };
    return { context, stop, [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose]() };
};
