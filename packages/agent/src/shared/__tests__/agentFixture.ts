/**
 * Test fixture: one agent on a virtual clock and network with a scripted backend server.
 *
 * @packageDocumentation
 */

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { type Client, createClient } from "@connectrpc/connect";
import { ConfigurationStore } from "@magnolialock/control";
import {
    type Address,
    AsyncQueue,
    type BackendServerId,
    branded,
    createRandomSource,
    type EventRecord,
    type Revision,
} from "@magnolialock/kernel";
import { AgentService, type RunEvent, type RunRequest, RunRequestSchema } from "@magnolialock/protocol";
import {
    createVirtualRuntime,
    LinkTable,
    VirtualClock,
    VirtualNetwork,
    type VirtualRuntime,
} from "@magnolialock/test-support";
import type { Backend, BackendEvent, BackendLoad, BackendRequest } from "../../types/backend.ts";
import { type Agent, createAgent } from "../agent.ts";
import { formatTicket } from "../ticket.ts";

const ADDRESS = branded<Address>("10.1.0.1:7100");
const HTTP_OK = 200;

/** One call that the scripted backend server received. */
export interface ScriptedCall {
    readonly request: BackendRequest;
    readonly events: AsyncQueue<BackendEvent>;
    readonly signal: AbortSignal;
    /** Answers with a head, one body and the end. */
    finish(): void;
    /** Sends tokens. */
    sendTokens(count: number): void;
    /** Fails the answer with an error. */
    fail(error: Error): void;
}

/** Backend server whose answers are scripted by the test. */
export class ScriptedBackend implements Backend {
    public readonly calls: ScriptedCall[] = [];
    public load: BackendLoad = { running: 0, waiting: 0, processId: "p1", cachedPrefixes: [] };
    public isLoadReadable = true;
    /** Highest number of calls that ran concurrently. */
    public maxRunning = 0;
    public running = 0;
    /** Delivers answers to the agent's process; a paused process receives them when it resumes. */
    public deliver = (action: () => void): void => action();

    public async *run(request: BackendRequest, signal: AbortSignal): AsyncGenerator<BackendEvent> {
        const events = new AsyncQueue<BackendEvent>();
        this.calls.push({
            request,
            events,
            signal,
            finish: () =>
                this.deliver(() => {
                    events.push({ kind: "head", status: HTTP_OK, headers: [] });
                    events.push({ kind: "body", bytes: Buffer.from(`answer to ${request.requestId}`) });
                    events.push({ kind: "end", finishReason: "" });
                }),
            sendTokens: count =>
                this.deliver(() =>
                    events.push({ kind: "tokens", texts: Array.from({ length: count }, () => "x") })
                ),
            fail: error => this.deliver(() => events.fail(error)),
        });
        this.running++;
        this.maxRunning = Math.max(this.maxRunning, this.running);
        signal.addEventListener("abort", () => events.fail(new Error("the call was canceled")), {
            once: true,
        });
        try {
            yield* events;
        }
        finally {
            this.running--;
        }
    }

    public async readLoad(): Promise<BackendLoad> {
        if (!this.isLoadReadable) {
            throw new Error("the load report is not available");
        }
        return this.load;
    }

    public call(requestId: string): ScriptedCall {
        const found = this.calls.findLast(({ request }) => request.requestId === requestId);
        if (!found) {
            throw new Error(`request ${requestId} did not reach the backend server`);
        }
        return found;
    }

    public runsOf(requestId: string): number {
        return this.calls.filter(({ request }) => request.requestId === requestId).length;
    }
}

/** A request that was sent to the agent, with the events received in answer. */
export interface SentRequest {
    readonly events: RunEvent[];
    readonly done: Promise<void>;
}

/** Parameters of the fixture's rules. */
export interface FixtureRules {
    readonly kind?: "model" | "plain";
    readonly cold?: number;
    readonly warm?: number;
    readonly queue?: number;
    readonly warmTime?: string | undefined;
    readonly extraLines?: readonly string[];
}

const rulesText = (rules: FixtureRules): string => {
    const { kind = "plain", cold = 2, warm = 8, queue = 32, warmTime = "20ms", extraLines = [] } = rules;
    return [
        "data-centre recife region=nordeste",
        `service painel kind=${kind} deadline=10s${warmTime === undefined ? "" : ` warm-time=${warmTime}`}`,
        `server painel-1 service=painel data-centre=recife agent=${ADDRESS} cold=${cold} warm=${warm} queue=${queue}`,
        ...extraLines,
    ].map(line => `${line} # test\n`).join("");
};

/** The agent with its clock, network, configuration and backend server. */
export class AgentFixture {
    public readonly clock = new VirtualClock();
    public readonly network: VirtualNetwork;
    public readonly backend = new ScriptedBackend();
    public readonly loggedEvents: EventRecord[] = [];
    public runtime!: VirtualRuntime;
    public store!: ConfigurationStore;
    public agent!: Agent;
    public client!: Client<typeof AgentService>;
    private readonly random = createRandomSource(1);
    private revision = 0;

    private constructor(private readonly rules: FixtureRules) {
        this.network = new VirtualNetwork({
            clock: this.clock,
            links: new LinkTable({ random: this.random.fork("links") }),
        });
    }

    /** Starts an agent and waits until it has learned the load of its backend server. */
    public static async start(rules: FixtureRules = {}): Promise<AgentFixture> {
        const fixture = new AgentFixture(rules);
        await fixture.startAgent();
        const entry = createVirtualRuntime({
            name: "entry-1",
            dataCentre: "recife",
            network: fixture.network,
            random: fixture.random,
        });
        fixture.client = createClient(AgentService, entry.network.transportTo(ADDRESS));
        await fixture.clock.advance(2_000);
        return fixture;
    }

    public async startAgent(): Promise<void> {
        this.runtime = createVirtualRuntime({
            name: "agent-painel-1",
            dataCentre: "recife",
            network: this.network,
            random: this.random,
            sinks: [{ name: "test", write: record => this.loggedEvents.push(record) }],
        });
        const { process } = this.runtime;
        this.backend.deliver = action => process.run(action);
        this.store = new ConfigurationStore({ events: this.runtime.events });
        this.publish();
        this.agent = await createAgent({
            runtime: this.runtime,
            backend: this.backend,
            server: branded<BackendServerId>("painel-1"),
            listen: ADDRESS,
            configuration: this.store,
            drainTimeoutMs: 2_000,
        });
    }

    /** Kills the agent as SIGKILL does and starts a new incarnation; the backend server keeps running. */
    public async restartAgent(): Promise<void> {
        this.network.kill(this.runtime.endpoint);
        await this.clock.advance(10);
        await this.startAgent();
    }

    public publish(extraLines: readonly string[] = []): void {
        this.revision++;
        const text = rulesText({
            ...this.rules,
            extraLines: [...this.rules.extraLines ?? [], ...extraLines],
        });
        this.store.offer(branded<Revision>(this.revision), Buffer.from(text), "test");
    }

    public ticket(counter: number, issuer = "entry-1-a"): string {
        const { server, incarnation } = this.agent.context;
        return formatTicket({ server, incarnation, issuer, counter });
    }

    public send(requestId: string, fields: MessageInitShape<typeof RunRequestSchema> = {}): SentRequest {
        const request: RunRequest = create(RunRequestSchema, {
            requestId,
            attempt: 1,
            entry: "entry-1",
            clientAccount: "loja-1",
            accountWeight: 1,
            service: "painel",
            priority: 3,
            remainingMs: 5_000,
            isRepeatable: true,
            method: "POST",
            path: "/x",
            ...fields,
        });
        const events: RunEvent[] = [];
        const read = async (): Promise<void> => {
            for await (const event of this.client.run(request)) {
                events.push(event);
            }
        };
        return { events, done: read().catch(() => {}) };
    }

    /** Sends a request and waits until it has reached the backend server or the queue. */
    public async sendAndWait(
        requestId: string,
        fields: MessageInitShape<typeof RunRequestSchema> = {},
    ): Promise<SentRequest> {
        const sent = this.send(requestId, fields);
        await this.clock.advance(5);
        return sent;
    }

    /** Runs plain calls of a given duration, one after the other. */
    public async serve(count: number, durationMs: number, prefix = "serve"): Promise<void> {
        for (let index = 0; index < count; index++) {
            const id = `${prefix}-${index}-${this.clock.nowMs()}`;
            this.send(id);
            await this.clock.advance(5);
            await this.clock.advance(Math.max(0, durationMs - 5));
            this.backend.call(id).finish();
            await this.clock.advance(5);
        }
    }

    /** Runs as many plain calls at warm speed as the limit allows, until it has reached the warm limit. */
    public async warmUp(): Promise<void> {
        const { context } = this.agent;
        for (let round = 0; round < 200 && context.lease.limit < (this.rules.warm ?? 8); round++) {
            const ids = Array.from({ length: context.limit }, (_, index) => `warm-${round}-${index}`);
            ids.forEach(id => this.send(id));
            await this.clock.advance(10);
            ids.forEach(id => this.backend.call(id).finish());
            await this.clock.advance(100);
        }
    }

    public eventNames(): string[] {
        return this.loggedEvents.map(({ definition }) => definition.name);
    }
}

/** Case of the last event of an answer. */
export const lastEventCase = ({ events }: SentRequest): string | undefined => events.at(-1)?.event.case;
