/**
 * One agent on the virtual clock before a stand-in of an engine, with callers that always have a next request.
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
import { createEngineBackend, EngineModel, type EngineModelOptions } from "@magnolialock/lab";
import { AgentService, RunRequestSchema } from "@magnolialock/protocol";
import { createVirtualRuntime, LinkTable, VirtualClock, VirtualNetwork } from "@magnolialock/test-support";

const ADDRESS = branded<Address>("10.1.0.1:7100");

export interface RigOptions {
    readonly seed: number;
    readonly cold: number;
    readonly warm: number;
    readonly queue?: number;
    readonly engine?: Partial<EngineModelOptions>;
}

export interface Caller {
    readonly account: string;
    readonly weight: number;
    readonly priority?: number;
}

export interface Rig {
    readonly clock: VirtualClock;
    readonly agent: Agent;
    readonly engine: EngineModel;
    readonly logged: readonly EventRecord[];
    readonly completedByAccount: ReadonlyMap<string, number>;
    /** Starts a caller that sends one request after the other until the run ends. */
    addCaller(caller: Caller): void;
}

const rulesOf = ({ cold, warm, queue = 32 }: RigOptions): string =>
    [
        "data-centre recife region=nordeste",
        "service redator kind=model deadline=60s warm-time=50ms",
        `server redator-1 service=redator data-centre=recife agent=${ADDRESS} cold=${cold} warm=${warm} queue=${queue}`,
    ].map(line => `${line} # bench\n`).join("");

export const startRig = async (options: RigOptions): Promise<Rig> => {
    const random = createRandomSource(options.seed);
    const clock = new VirtualClock();
    const network = new VirtualNetwork({ clock, links: new LinkTable({ random: random.fork("links") }) });
    const logged: EventRecord[] = [];
    const runtime = createVirtualRuntime({
        name: "agent",
        dataCentre: "recife",
        network,
        random,
        sinks: [{ name: "bench", write: record => logged.push(record) }],
    });
    const entryRuntime = createVirtualRuntime({ name: "entry", dataCentre: "recife", network, random });
    const engine = new EngineModel({
        clock,
        random: random.fork("engine"),
        coldLimit: options.cold,
        warmLimit: options.warm,
        ...options.engine,
    });
    const store = new ConfigurationStore({ events: runtime.events });
    store.offer(branded<Revision>(1), Buffer.from(rulesOf(options)), "bench");
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

    const runOne = async ({ account, weight, priority = 3 }: Caller): Promise<number> => {
        nextRequest++;
        const tokens = random.nextInt(20, 80);
        const body = { prompt: `prompt ${nextRequest}`, max_tokens: tokens };
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
        const next = (): void => {
            void runOne(caller).then(delayMs => clock.setTimer(delayMs, next));
        };
        next();
    };
    return { clock, agent, engine, logged, completedByAccount, addCaller };
};
