/**
 * Metrics client for a StatsD server.
 *
 * @packageDocumentation
 */

import { StatsD } from "hot-shots";
import type { Address } from "../shared/brand.ts";
import type { Metrics } from "../shared/metrics.ts";
import { splitAddress } from "./address.ts";

/**
 * Creates a client that sends metrics to a StatsD server over UDP.
 *
 * @param address - address of the server
 * @param tags - labels that are added to every metric
 * @returns the client; disposing it closes the socket
 */
export const createStatsdMetrics = (
    address: Address,
    tags: Readonly<Record<string, string>>,
): Metrics & AsyncDisposable => {
    const { host, port } = splitAddress(address);
    const client = new StatsD({
        host,
        port,
        prefix: "magnolialock.",
        globalTags: tags,
        errorHandler: () => {},
        maxBufferSize: 1_200,
        bufferFlushInterval: 1_000,
    });
    return {
        increment: (name, value = 1, metricTags) => client.increment(name, value, metricTags),
        gauge: (name, value, metricTags) => client.gauge(name, value, metricTags),
        timing: (name, valueMs, metricTags) => client.timing(name, valueMs, metricTags),
        [Symbol.asyncDispose]: () => new Promise(resolve => client.close(() => resolve())),
    };
};
