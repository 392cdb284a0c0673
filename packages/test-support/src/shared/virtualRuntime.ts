/**
 * Runtime of one simulated process on the in-process network.
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
    /** Source of random numbers; the process gets a fork of it, named after the process. */
    readonly random: RandomSource;
    /** Rate of the process's clock, in its own seconds per second of virtual time; 1 by default. */
    readonly clockRate?: number;
    /** Offset of the process's wall-clock time, in milliseconds; 0 by default. */
    readonly wallOffsetMs?: number;
    /** Sinks that receive the events of the process. */
    readonly sinks?: readonly EventSink[];
    /** Metrics registry; metrics are not recorded by default. */
    readonly metrics?: Metrics;
    /** Number of recent events that the event log keeps. */
    readonly eventCapacity?: number;
}

/** Runtime of a simulated process, with the handles by which a test controls it. */
export interface VirtualRuntime extends Runtime {
    /** Endpoint of the process on the in-process network. */
    readonly endpoint: Endpoint;
    /** Clock of the process, by which a test pauses or kills it. */
    readonly process: ProcessClock;
}

/**
 * Creates the runtime of a simulated process and adds the process to the network.
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
