/**
 * Benchmark of one entry process. The baseline is the same load, sent by undici directly to a backend server.
 */

import Table from "cli-table3";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { type BenchFleet, startBenchFleet } from "./benchFleet.ts";
import { runShortRequests, runStreams, type ShortRequestResults, type StreamResults } from "./benchLoad.ts";

const LATENCY_LOAD = { streams: 200, tokensPerStream: 100, intervalMs: 50 };
const THROUGHPUT_LOAD = { streams: 400, tokensPerStream: 300, intervalMs: 10 };
const SHORT_LOAD = { concurrency: 100, durationMs: 5_000 };
const IDLE_CONNECTIONS = 1_000;
const SETTLE_DELAY_MS = 1_000;
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

const measureIdleConnectionBytes = async (fleet: BenchFleet): Promise<number> => {
    const bytesBefore = fleet.entryMemoryBytes();
    const sockets = await openIdleConnections(fleet.entryUrl);
    await delay(SETTLE_DELAY_MS);
    const bytesPerConnection = (fleet.entryMemoryBytes() - bytesBefore) / IDLE_CONNECTIONS;
    for (const socket of sockets) {
        socket.destroy();
    }
    return bytesPerConnection;
};

const measureStreamBytes = async (fleet: BenchFleet, url: string): Promise<number> => {
    const bytesBefore = fleet.entryMemoryBytes();
    const streams = runStreams({ url, ...LATENCY_LOAD });
    await delay(LATENCY_LOAD.tokensPerStream * LATENCY_LOAD.intervalMs / 2);
    const bytesDuring = fleet.entryMemoryBytes();
    await streams;
    return (bytesDuring - bytesBefore) / LATENCY_LOAD.streams;
};

const formatKib = (bytes: number): string => `${(bytes / BYTES_PER_KIB).toFixed(1)} KiB`;
const formatMs = (value: number): string => `${value.toFixed(2)} ms`;

const createStreamRow = (
    name: string,
    { transitP50Ms, transitP95Ms, tokensPerS, brokenStreams }: StreamResults,
) => [
    name,
    formatMs(transitP50Ms),
    formatMs(transitP95Ms),
    String(tokensPerS),
    String(brokenStreams),
];
const createShortRequestRow = (
    name: string,
    { latencyP50Ms, latencyP95Ms, requestsPerS, failures }: ShortRequestResults,
) => [
    name,
    formatMs(latencyP50Ms),
    formatMs(latencyP95Ms),
    String(requestsPerS),
    String(failures),
];

const printTable = (headers: string[], rows: string[][]): void => {
    const table = new Table({ head: headers, style: { head: [], border: [] } });
    table.push(...rows);
    process.stdout.write(`${table.toString()}\n`);
};

await using fleet = await startBenchFleet();
await delay(SETTLE_DELAY_MS);
const proxiedUrl = `${fleet.entryUrl}/stream/v1/completions`;
const baselineUrl = `${fleet.streamUrl}/v1/completions`;
await runStreams({ url: proxiedUrl, streams: 20, tokensPerStream: 20, intervalMs: 20 });

const bytesPerIdleConnection = await measureIdleConnectionBytes(fleet);
const baselineLatency = await runStreams({ url: baselineUrl, ...LATENCY_LOAD });
const proxiedLatency = await runStreams({ url: proxiedUrl, ...LATENCY_LOAD });
printTable(["200 streams, 20 tokens/s each", "transit p50", "transit p95", "tokens/s", "broken"], [
    createStreamRow("direct to backend", baselineLatency),
    createStreamRow("through the entry", proxiedLatency),
]);
process.stdout.write(
    `added latency: p50 ${formatMs(proxiedLatency.transitP50Ms - baselineLatency.transitP50Ms)}, `
        + `p95 ${
            formatMs(proxiedLatency.transitP95Ms - baselineLatency.transitP95Ms)
        } (target: at most 2 ms)\n`,
);

const baselineThroughput = await runStreams({ url: baselineUrl, ...THROUGHPUT_LOAD });
const cpuBeforeMs = fleet.entryCpuMs();
const proxiedThroughput = await runStreams({ url: proxiedUrl, ...THROUGHPUT_LOAD });
const tokenCpuMs = fleet.entryCpuMs() - cpuBeforeMs;
printTable(["400 streams, 100 tokens/s each", "transit p50", "transit p95", "tokens/s", "broken"], [
    createStreamRow("direct to backend", baselineThroughput),
    createStreamRow("through the entry", proxiedThroughput),
]);
process.stdout.write(
    `CPU time of the entry: ${(tokenCpuMs * 1_000 / proxiedThroughput.tokens).toFixed(1)} us per token\n`,
);

const baselineShortRequests = await runShortRequests({ url: `${fleet.shortUrl}/status`, ...SHORT_LOAD });
const shortCpuBeforeMs = fleet.entryCpuMs();
const proxiedShortRequests = await runShortRequests({ url: `${fleet.entryUrl}/short/status`, ...SHORT_LOAD });
const shortCpuMs = fleet.entryCpuMs() - shortCpuBeforeMs;
printTable(["100 callers, short requests", "latency p50", "latency p95", "requests/s", "failures"], [
    createShortRequestRow("direct to backend", baselineShortRequests),
    createShortRequestRow("through the entry", proxiedShortRequests),
]);
const requestCount = proxiedShortRequests.requestsPerS * SHORT_LOAD.durationMs / 1_000;
process.stdout.write(
    `CPU time of the entry: ${(shortCpuMs * 1_000 / requestCount).toFixed(0)} us per request\n`,
);

const bytesPerStream = await measureStreamBytes(fleet, proxiedUrl);
process.stdout.write(
    `memory of the entry: ${formatKib(bytesPerIdleConnection)} per idle connection, ${
        formatKib(Math.max(0, bytesPerStream))
    } per busy stream, `
        + `${formatKib(fleet.entryMemoryBytes())} in total\n`,
);
