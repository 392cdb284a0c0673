/**
 * Load of the benchmark: concurrent token streams and short requests, with their latencies.
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { BENCH_KEY } from "./benchFleet.ts";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const TOKEN_TIME = /"text":"(\d+\.\d+) "/g;
const headers = { authorization: `Bearer ${BENCH_KEY}`, "content-type": "application/json" };

/** Figures of a run of streams. */
export interface StreamFigures {
    /** Time from the backend server to the caller, median of all tokens, in milliseconds. */
    readonly transitP50Ms: number;
    /** The same for 95 in 100 tokens. */
    readonly transitP95Ms: number;
    /** Tokens received per second. */
    readonly tokensPerS: number;
    /** Tokens received. */
    readonly tokens: number;
    /** Streams that ended without their end mark. */
    readonly brokenStreams: number;
}

/** Options of {@link runStreams}. */
export interface StreamLoadOptions {
    /** Where to send the requests, with the path. */
    readonly url: string;
    /** Streams at once. */
    readonly streams: number;
    /** Tokens of each stream. */
    readonly tokensPerStream: number;
    /** Time between tokens of a stream, in milliseconds. */
    readonly intervalMs: number;
}

const preciseNowMs = (): number => performance.timeOrigin + performance.now();

const readStream = async (
    options: StreamLoadOptions,
    dispatcher: Agent,
    transit: Histogram,
): Promise<boolean> => {
    const body = JSON.stringify({
        prompt: "bench",
        max_tokens: options.tokensPerStream,
        interval_ms: options.intervalMs,
    });
    const response = await request(options.url, { method: "POST", headers, body, dispatcher });
    let rest = "";
    let isWhole = false;
    for await (const piece of response.body) {
        const nowMs = preciseNowMs();
        const text = rest + String(piece);
        const lastBreak = text.lastIndexOf("\n\n") + 1;
        for (const match of text.slice(0, lastBreak).matchAll(TOKEN_TIME)) {
            transit.recordValue(
                Math.max(0, Math.round((nowMs - Number(match[1])) * MICROSECONDS_PER_MILLISECOND)),
            );
        }
        isWhole ||= text.includes("[DONE]");
        rest = text.slice(lastBreak);
    }
    return isWhole;
};

/** Runs streams that start within the first interval. */
export const runStreams = async (options: StreamLoadOptions): Promise<StreamFigures> => {
    const dispatcher = new Agent({ connections: options.streams, pipelining: 1 });
    const transit = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const startMs = performance.now();
    const streams = Array.from({ length: options.streams }, async (_, index) => {
        await new Promise(resolve => setTimeout(resolve, (index * options.intervalMs) / options.streams));
        return readStream(options, dispatcher, transit);
    });
    const outcomes = await Promise.allSettled(streams);
    const elapsedS = (performance.now() - startMs) / MILLISECONDS_PER_SECOND;
    await dispatcher.close();
    return {
        transitP50Ms: transit.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
        transitP95Ms: transit.getValueAtPercentile(95) / MICROSECONDS_PER_MILLISECOND,
        tokens: transit.totalCount,
        tokensPerS: Math.round(transit.totalCount / elapsedS),
        brokenStreams: outcomes.filter(outcome => outcome.status === "rejected" || !outcome.value).length,
    };
};

/** Figures of a run of short requests. */
export interface ShortFigures {
    /** Answers per second. */
    readonly requestsPerS: number;
    /** Median latency, in milliseconds. */
    readonly latencyP50Ms: number;
    /** Latency of 95 in 100 requests, in milliseconds. */
    readonly latencyP95Ms: number;
    /** Requests without a good answer. */
    readonly failures: number;
}

/** Runs short requests in a closed loop. */
export const runShort = async (
    options: { readonly url: string; readonly concurrency: number; readonly durationMs: number; },
): Promise<ShortFigures> => {
    const dispatcher = new Agent({ connections: options.concurrency, pipelining: 1 });
    const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const startMs = performance.now();
    const endMs = startMs + options.durationMs;
    let failures = 0;
    const loop = async (): Promise<void> => {
        while (performance.now() < endMs) {
            const sentMs = performance.now();
            const response = await request(options.url, { headers, dispatcher });
            await response.body.dump();
            failures += response.statusCode === 200 ? 0 : 1;
            latency.recordValue(Math.round((performance.now() - sentMs) * MICROSECONDS_PER_MILLISECOND));
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, loop));
    const elapsedS = (performance.now() - startMs) / MILLISECONDS_PER_SECOND;
    await dispatcher.close();
    return {
        requestsPerS: Math.round((latency.totalCount - failures) / elapsedS),
        latencyP50Ms: latency.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
        latencyP95Ms: latency.getValueAtPercentile(95) / MICROSECONDS_PER_MILLISECOND,
        failures,
    };
};
