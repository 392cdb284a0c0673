/**
 * Measures the CPU time that the agent takes for an admitted request, without the network, and the memory of
 * its journal of ticketed requests.
 *
 * Run with `node --expose-gc --import tsx playground/bench/agent/processorTime.ts`.
 */

import { create } from "@bufbuild/protobuf";
import { type Backend, createAgent, formatTicket } from "@magnolialock/agent";
import { ConfigurationStore } from "@magnolialock/control";
import {
    type Address,
    type BackendServerId,
    branded,
    createRandomSource,
    createSystemClock,
    EventLog,
    type Network,
    noMetrics,
    type Revision,
    type Runtime,
    type ServiceBinding,
} from "@magnolialock/kernel";
import { type RunEvent, type RunRequest, RunRequestSchema } from "@magnolialock/protocol";
import { setTimeout as delay } from "node:timers/promises";

const REQUESTS = 60_000;
const CONCURRENCY = 16;
const RESPONSE_BYTES = 200;
const rules = [
    "data-centre recife region=nordeste",
    "service painel kind=plain deadline=5s warm-time=1s",
    "server painel-1 service=painel data-centre=recife agent=127.0.0.1:7100 cold=16 warm=16",
].map(line => `${line} # bench\n`).join("");

const instantBackend: Backend = {
    async *run() {
        yield { kind: "head", status: 200, headers: [["content-type", "application/json"]] };
        yield { kind: "body", bytes: new Uint8Array(RESPONSE_BYTES) };
        yield { kind: "end", finishReason: "" };
    },
    readLoad: async () => ({ running: 0, waiting: 0, processId: "p", cachedPrefixes: [] }),
};

type RunHandler = (
    request: RunRequest,
    context: { readonly signal: AbortSignal; },
) => AsyncIterable<RunEvent>;

const bindings: ServiceBinding[] = [];
const clock = createSystemClock();
/** Captures the agent's handlers instead of listening, so that requests bypass the network. */
const inProcessNetwork = {
    listen: async (_address: Address, bound: readonly ServiceBinding[]) => {
        bindings.push(...bound);
        return { [Symbol.asyncDispose]: async () => {} };
    },
} as unknown as Network;
const runtime: Runtime = {
    clock,
    network: inProcessNetwork,
    metrics: noMetrics,
    random: createRandomSource(1),
    events: new EventLog({ clock, instance: "bench" }),
};
const store = new ConfigurationStore({ events: runtime.events });
store.offer(branded<Revision>(1), Buffer.from(rules), "bench");
const agent = await createAgent({
    runtime,
    backend: instantBackend,
    server: branded<BackendServerId>("painel-1"),
    listen: branded<Address>("127.0.0.1:7100"),
    configuration: store,
});
await delay(2_000);
const handleRun = bindings[0]?.implementation["run" as never] as unknown as RunHandler;
let requestCount = 0;
let failedCount = 0;

const sendRequest = async (isRepeatable: boolean): Promise<void> => {
    requestCount++;
    const { server, incarnation } = agent.context;
    const ticket = isRepeatable
        ? ""
        : formatTicket({ server, incarnation, issuer: "entry-1", counter: requestCount });
    const request = create(RunRequestSchema, {
        requestId: `r${requestCount}`,
        attempt: 1,
        clientAccount: `a${requestCount % 10}`,
        accountWeight: 1,
        service: "painel",
        priority: 2,
        remainingMs: 5_000,
        isRepeatable,
        ticket,
        method: "POST",
        path: "/bookings",
        body: new Uint8Array(100),
    });
    let lastEvent: string | undefined;
    for await (const { event } of handleRun(request, { signal: new AbortController().signal })) {
        lastEvent = event.case;
    }
    failedCount += lastEvent === "end" ? 0 : 1;
};

const measureCpuUs = async (isRepeatable: boolean): Promise<number> => {
    const cpuBefore = process.cpuUsage();
    const targetCount = requestCount + REQUESTS;
    const worker = async (): Promise<void> => {
        while (requestCount < targetCount) {
            await sendRequest(isRepeatable);
        }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, worker));
    const { user, system } = process.cpuUsage(cpuBefore);
    return (user + system) / REQUESTS;
};

const measureHeapBytes = (): number => {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
};

await measureCpuUs(true);
const repeatableUs = await measureCpuUs(true);
const heapBytesBefore = measureHeapBytes();
const ticketedUs = await measureCpuUs(false);
const heapBytesAfter = measureHeapBytes();
const settledCount = agent.context.journal.settledCount;
console.log(JSON.stringify({
    requests: REQUESTS,
    failed: failedCount,
    repeatableCpuUs: Number(repeatableUs.toFixed(1)),
    ticketedCpuUs: Number(ticketedUs.toFixed(1)),
    journalSettled: settledCount,
    journalAnswerBytes: agent.context.journal.answerBytes,
    journalHeapBytes: heapBytesAfter - heapBytesBefore,
    journalBytesPerKey: Math.round((heapBytesAfter - heapBytesBefore) / settledCount),
}));
await agent[Symbol.asyncDispose]();
