/**
 * Test harness for benchmarks of the agent: one agent and a simulated model engine on the virtual clock, with
 * callers that send their next request as soon as the last one has ended (closed loop).
 */

import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { type Agent, createAgent } from "@magnolialock/agent";
import { ConfigurationStore } from "@magnolialock/control";
import {
    type Address,
    type BackendServerId,
    branded,
    createRandomSource,
    type EventRecord,
    type Revision,
} from "@magnolialock/kernel";
import { createEngineBackend, SimulatedEngine, type SimulatedEngineOptions } from "@magnolialock/lab";
import { AgentService, RunRequestSchema } from "@magnolialock/protocol";
import { createVirtualRuntime, LinkTable, VirtualClock, VirtualNetwork } from "@magnolialock/test-support";

const ADDRESS = branded<Address>("10.1.0.1:7100");

export interface AgentHarnessOptions {
    readonly seed: number;
    /** Concurrency limit of the server while it is cold. */
    readonly coldLimit: number;
    /** Concurrency limit of the server while it is warm. */
    readonly warmLimit: number;
    /** Longest queue of the server, in requests; 32 by default. */
    readonly queueLimit?: number;
    /** Overrides the options of the simulated engine. */
    readonly engine?: Partial<SimulatedEngineOptions>;
}

export interface Caller {
    readonly account: string;
    /** Weight of the client account in fair queueing. */
    readonly weight: number;
    /** Priority of its requests; 3 by default. */
    readonly priority?: number;
}

export interface AgentHarness {
    readonly clock: VirtualClock;
    readonly agent: Agent;
    readonly engine: SimulatedEngine;
    /** Events that the agent has logged so far. */
    readonly eventRecords: readonly EventRecord[];
    readonly completedByAccount: ReadonlyMap<string, number>;
    /**
     * Starts a caller that sends one request after the other, with a pause after a refusal, until the run
     * ends.
     */
    addCaller(caller: Caller): void;
}

const createRules = ({ coldLimit, warmLimit, queueLimit = 32 }: AgentHarnessOptions): string =>
    [
        "data-centre recife region=nordeste",
        "service redator kind=model deadline=60s warm-time=50ms",
        `server redator-1 service=redator data-centre=recife agent=${ADDRESS} cold=${coldLimit} warm=${warmLimit} queue=${queueLimit}`,
    ].map(line => `${line} # bench\n`).join("");

export const startAgentHarness = async (options: AgentHarnessOptions): Promise<AgentHarness> => {
    const random = createRandomSource(options.seed);
    const clock = new VirtualClock();
    const network = new VirtualNetwork({ clock, links: new LinkTable({ random: random.fork("links") }) });
    const eventRecords: EventRecord[] = [];
    const runtime = createVirtualRuntime({
        name: "agent",
        dataCentre: "recife",
        network,
        random,
        sinks: [{ name: "bench", write: record => eventRecords.push(record) }],
    });
    const entryRuntime = createVirtualRuntime({ name: "entry", dataCentre: "recife", network, random });
    const engine = new SimulatedEngine({
        clock,
        random: random.fork("engine"),
        coldLimit: options.coldLimit,
        warmLimit: options.warmLimit,
        ...options.engine,
    });
    const store = new ConfigurationStore({ events: runtime.events });
    store.offer(branded<Revision>(1), Buffer.from(createRules(options)), "bench");
    const agent = await createAgent({
        runtime,
        backend: createEngineBackend(engine, action => runtime.process.run(action)),
        server: branded<BackendServerId>("redator-1"),
        listen: ADDRESS,
        configuration: store,
    });
    const client = createClient(AgentService, entryRuntime.network.transportTo(ADDRESS));
    const completedByAccount = new Map<string, number>();
    let nextRequest = 0;

    const sendRequest = async ({ account, weight, priority = 3 }: Caller): Promise<number> => {
        nextRequest++;
        const tokenCount = random.nextInt(20, 80);
        const body = { prompt: `prompt ${nextRequest}`, max_tokens: tokenCount };
        const request = create(RunRequestSchema, {
            requestId: `r${nextRequest}`,
            attempt: 1,
            clientAccount: account,
            accountWeight: weight,
            service: "redator",
            priority,
            remainingMs: 60_000,
            isRepeatable: true,
            method: "POST",
            path: "/v1/completions",
            body: Buffer.from(JSON.stringify(body)),
        });
        let retryAfterMs = 0;
        for await (const { event } of client.run(request)) {
            if (event.case === "end") {
                completedByAccount.set(account, (completedByAccount.get(account) ?? 0) + 1);
            }
            retryAfterMs = event.case === "refused" ? Math.max(10, event.value.retryAfterMs) : 0;
        }
        return retryAfterMs;
    };

    const addCaller = (caller: Caller): void => {
        const sendNext = (): void => {
            void sendRequest(caller).then(delayMs => clock.setTimer(delayMs, sendNext));
        };
        sendNext();
    };
    return { clock, agent, engine, eventRecords, completedByAccount, addCaller };
};
