/**
 * Benchmark: one entry process against undici that goes straight to the same backend server.
 */

import Table from "cli-table3";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { type BenchFleet, startBenchFleet } from "./benchFleet.ts";
import { runShort, runStreams, type ShortFigures, type StreamFigures } from "./streamLoad.ts";

const LATENCY_LOAD = { streams: 200, tokensPerStream: 100, intervalMs: 50 };
const THROUGHPUT_LOAD = { streams: 400, tokensPerStream: 300, intervalMs: 10 };
const SHORT_LOAD = { concurrency: 100, durationMs: 5_000 };
const IDLE_CONNECTIONS = 1_000;
const SETTLE_MS = 1_000;
const BYTES_PER_KIB = 1_024;

const openIdleConnections = (url: string): Promise<Socket[]> => {
    const { hostname, port } = new URL(url);
    return Promise.all(
        Array.from({ length: IDLE_CONNECTIONS }, () =>
            new Promise<Socket>((resolve, reject) => {
                const socket = connect(Number(port), hostname, () => resolve(socket));
                socket.once("error", reject);
            })),
    );
};

const measureIdleMemory = async (fleet: BenchFleet): Promise<number> => {
    const before = fleet.entryMemoryBytes();
    const sockets = await openIdleConnections(fleet.entryUrl);
    await delay(SETTLE_MS);
    const perConnection = (fleet.entryMemoryBytes() - before) / IDLE_CONNECTIONS;
    for (const socket of sockets) {
        socket.destroy();
    }
    return perConnection;
};

const measureBusyMemory = async (fleet: BenchFleet, url: string): Promise<number> => {
    const before = fleet.entryMemoryBytes();
    const running = runStreams({ url, ...LATENCY_LOAD });
    await delay(LATENCY_LOAD.tokensPerStream * LATENCY_LOAD.intervalMs / 2);
    const during = fleet.entryMemoryBytes();
    await running;
    return (during - before) / LATENCY_LOAD.streams;
};

const kib = (bytes: number): string => `${(bytes / BYTES_PER_KIB).toFixed(1)} KiB`;
const ms = (value: number): string => `${value.toFixed(2)} ms`;

const streamRow = (
    name: string,
    { transitP50Ms, transitP95Ms, tokensPerS, brokenStreams }: StreamFigures,
) => [
    name,
    ms(transitP50Ms),
    ms(transitP95Ms),
    String(tokensPerS),
    String(brokenStreams),
];
const shortRow = (name: string, { latencyP50Ms, latencyP95Ms, requestsPerS, failures }: ShortFigures) => [
    name,
    ms(latencyP50Ms),
    ms(latencyP95Ms),
    String(requestsPerS),
    String(failures),
];

const print = (head: string[], rows: string[][]): void => {
    const table = new Table({ head, style: { head: [], border: [] } });
    table.push(...rows);
    process.stdout.write(`${table.toString()}\n`);
};

await using fleet = await startBenchFleet();
await delay(SETTLE_MS);
const through = `${fleet.entryUrl}/stream/v1/completions`;
const direct = `${fleet.streamUrl}/v1/completions`;
await runStreams({ url: through, streams: 20, tokensPerStream: 20, intervalMs: 20 });

const idleBytes = await measureIdleMemory(fleet);
const directLatency = await runStreams({ url: direct, ...LATENCY_LOAD });
const throughLatency = await runStreams({ url: through, ...LATENCY_LOAD });
print(["200 streams, 20 tokens/s each", "transit p50", "transit p95", "tokens/s", "broken"], [
    streamRow("undici straight", directLatency),
    streamRow("through the entry", throughLatency),
]);
process.stdout.write(
    `added latency: p50 ${ms(throughLatency.transitP50Ms - directLatency.transitP50Ms)}, `
        + `p95 ${ms(throughLatency.transitP95Ms - directLatency.transitP95Ms)} (target: at most 2 ms)\n`,
);

const directThroughput = await runStreams({ url: direct, ...THROUGHPUT_LOAD });
const cpuBeforeMs = fleet.entryCpuMs();
const throughThroughput = await runStreams({ url: through, ...THROUGHPUT_LOAD });
const tokenCpuMs = fleet.entryCpuMs() - cpuBeforeMs;
print(["400 streams, 100 tokens/s each", "transit p50", "transit p95", "tokens/s", "broken"], [
    streamRow("undici straight", directThroughput),
    streamRow("through the entry", throughThroughput),
]);
process.stdout.write(
    `processor time of the entry: ${(tokenCpuMs * 1_000 / throughThroughput.tokens).toFixed(1)} us a token\n`,
);

const directShort = await runShort({ url: `${fleet.shortUrl}/status`, ...SHORT_LOAD });
const shortCpuBeforeMs = fleet.entryCpuMs();
const throughShort = await runShort({ url: `${fleet.entryUrl}/short/status`, ...SHORT_LOAD });
const shortCpuMs = fleet.entryCpuMs() - shortCpuBeforeMs;
print(["100 callers, short requests", "latency p50", "latency p95", "requests/s", "failures"], [
    shortRow("undici straight", directShort),
    shortRow("through the entry", throughShort),
]);
const requestCount = throughShort.requestsPerS * SHORT_LOAD.durationMs / 1_000;
process.stdout.write(
    `processor time of the entry: ${(shortCpuMs * 1_000 / requestCount).toFixed(0)} us a request\n`,
);

const busyBytes = await measureBusyMemory(fleet, through);
process.stdout.write(
    `memory of the entry: ${kib(idleBytes)} an idle connection, ${
        kib(Math.max(0, busyBytes))
    } a busy stream, `
        + `${kib(fleet.entryMemoryBytes())} in all\n`,
);
