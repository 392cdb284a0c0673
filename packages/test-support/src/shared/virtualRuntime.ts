/**
 * Surroundings of one simulated process.
 *
 * @packageDocumentation
 */

import {
    EventLog,
    type EventSink,
    type Metrics,
    noMetrics,
    type RandomSource,
    type Runtime,
} from "@magnolialock/kernel";
import type { Endpoint } from "./endpoint.ts";
import type { EndpointInfo } from "./link.ts";
import { ProcessClock } from "./processClock.ts";
import type { VirtualNetwork } from "./virtualNetwork.ts";

/** Options of {@link createVirtualRuntime}. */
export interface VirtualRuntimeOptions extends EndpointInfo {
    /** In-process network to join. */
    readonly network: VirtualNetwork;
    /** Source of random numbers; the process gets a fork. */
    readonly random: RandomSource;
    /** Seconds that the process's clock counts per true second. */
    readonly clockRate?: number;
    /** Offset of the process's wall-clock time, in milliseconds. */
    readonly wallOffsetMs?: number;
    /** Where events go. */
    readonly sinks?: readonly EventSink[];
    /** Metrics to record into. */
    readonly metrics?: Metrics;
    /** How many events the process remembers. */
    readonly eventCapacity?: number;
}

/** Surroundings of a simulated process, with the handles of the test. */
export interface VirtualRuntime extends Runtime {
    /** The process on the network. */
    readonly endpoint: Endpoint;
    /** Clock that pauses and kills the process. */
    readonly process: ProcessClock;
}

/**
 * Creates the surroundings of a simulated process.
 *
 * @param options - name, data centre, network and random numbers
 * @returns the runtime
 */
export const createVirtualRuntime = (options: VirtualRuntimeOptions): VirtualRuntime => {
    const process = new ProcessClock({
        clock: options.network.clock,
        rate: options.clockRate,
        wallOffsetMs: options.wallOffsetMs,
    });
    const { endpoint, network } = options.network.addEndpoint(
        { name: options.name, dataCentre: options.dataCentre },
        process,
    );
    const events = new EventLog({
        clock: process,
        instance: options.name,
        sinks: options.sinks,
        capacity: options.eventCapacity,
    });
    endpoint.hybridClock = events.hybridClock;
    return {
        endpoint,
        process,
        network,
        events,
        clock: process,
        random: options.random.fork(options.name),
        metrics: options.metrics ?? noMetrics,
    };
};
