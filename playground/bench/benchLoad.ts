/**
 * Load generator of the benchmark: concurrent token streams and short requests, with their measured
 * latencies.
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { BENCH_KEY } from "./benchFleet.ts";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const TOKEN_SENT_TIME = /"text":"(\d+\.\d+) "/g;
const REQUEST_HEADERS = { authorization: `Bearer ${BENCH_KEY}`, "content-type": "application/json" };

/** Results of a run of token streams. */
export interface StreamResults {
    /** Median transit time of a token from the backend server to the caller, in milliseconds. */
    readonly transitP50Ms: number;
    /** 95th percentile of the transit time, in milliseconds. */
    readonly transitP95Ms: number;
    /** Tokens received per second. */
    readonly tokensPerS: number;
    /** Number of tokens received. */
    readonly tokens: number;
    /** Number of streams that failed or ended without `[DONE]`. */
    readonly brokenStreams: number;
}

/** Options of {@link runStreams}. */
export interface StreamLoadOptions {
    /** URL of the requests, with the path. */
    readonly url: string;
    /** Number of concurrent streams. */
    readonly streams: number;
    /** Number of tokens in each stream. */
    readonly tokensPerStream: number;
    /** Interval between the tokens of a stream, in milliseconds. */
    readonly intervalMs: number;
}

/** Returns the wall-clock time with sub-millisecond resolution, in milliseconds. */
const preciseNowMs = (): number => performance.timeOrigin + performance.now();

/**
 * Sends one request, records the transit time of each token, and tells whether the stream ended with
 * `[DONE]`.
 */
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
    const response = await request(options.url, {
        method: "POST",
        headers: REQUEST_HEADERS,
        body,
        dispatcher,
    });
    let remainder = "";
    let isComplete = false;
    for await (const chunk of response.body) {
        const nowMs = preciseNowMs();
        const text = remainder + String(chunk);
        const lastEventEnd = text.lastIndexOf("\n\n") + 1;
        for (const match of text.slice(0, lastEventEnd).matchAll(TOKEN_SENT_TIME)) {
            transit.recordValue(
                Math.max(0, Math.round((nowMs - Number(match[1])) * MICROSECONDS_PER_MILLISECOND)),
            );
        }
        isComplete ||= text.includes("[DONE]");
        remainder = text.slice(lastEventEnd);
    }
    return isComplete;
};

/** Runs concurrent streams; their starts are spread evenly over one token interval. */
export const runStreams = async (options: StreamLoadOptions): Promise<StreamResults> => {
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

/** Results of a run of short requests. */
export interface ShortRequestResults {
    /** Successful responses per second. */
    readonly requestsPerS: number;
    /** Median latency, in milliseconds. */
    readonly latencyP50Ms: number;
    /** 95th percentile of the latency, in milliseconds. */
    readonly latencyP95Ms: number;
    /** Number of requests with a status other than 200. */
    readonly failures: number;
}

/**
 * Runs short requests in closed loops: each loop sends its next request when the last response is complete.
 */
export const runShortRequests = async (
    options: { readonly url: string; readonly concurrency: number; readonly durationMs: number; },
): Promise<ShortRequestResults> => {
    const dispatcher = new Agent({ connections: options.concurrency, pipelining: 1 });
    const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const startMs = performance.now();
    const endMs = startMs + options.durationMs;
    let failures = 0;
    const sendUntilEnd = async (): Promise<void> => {
        while (performance.now() < endMs) {
            const sentMs = performance.now();
            const response = await request(options.url, { headers: REQUEST_HEADERS, dispatcher });
            await response.body.dump();
            failures += response.statusCode === 200 ? 0 : 1;
            latency.recordValue(Math.round((performance.now() - sentMs) * MICROSECONDS_PER_MILLISECOND));
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, sendUntilEnd));
    const elapsedS = (performance.now() - startMs) / MILLISECONDS_PER_SECOND;
    await dispatcher.close();
    return {
        requestsPerS: Math.round((latency.totalCount - failures) / elapsedS),
        latencyP50Ms: latency.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
        latencyP95Ms: latency.getValueAtPercentile(95) / MICROSECONDS_PER_MILLISECOND,
        failures,
    };
};
