/**
 * What an installation tells a process: where it stands, where it listens and which bounds hold.
 *
 * @packageDocumentation
 */

import type { Address, DataCentreId, InstanceId } from "@magnolialock/kernel";

/** Bounds that an installation promises or demands. */
export interface SafetyBounds {
    /** Retries over all instances for each request, within {@link SafetyBounds.retryWindowMs}. */
    readonly retryRatio: number;
    /** Retries over all instances beyond the ratio, within the window. */
    readonly retrySlack: number;
    /** Window in which retries are counted, in milliseconds. */
    readonly retryWindowMs: number;
    /** Factor by which a cold server's rate may be exceeded. */
    readonly coldOvershoot: number;
    /** Requests a second that a cold server takes beyond that. */
    readonly coldSlack: number;
    /** Time between a signal to stop and the end of the process, in milliseconds. */
    readonly graceMs: number;
}

/** Settings of one process. */
export interface DirectSettings {
    /** Name of the instance. */
    readonly instance: InstanceId;
    /** Its data centre. */
    readonly dataCentre: DataCentreId;
    /** Where callers connect. */
    readonly callers: Address;
    /** Where readiness is asked. */
    readonly readiness: Address;
    /** Where metrics are served; undefined serves none. */
    readonly metrics: Address | undefined;
    /** Where other instances connect. */
    readonly peers: Address;
    /** Addresses of some instances at the start. */
    readonly seeds: readonly Address[];
    /** Bounds of the installation. */
    readonly bounds: SafetyBounds;
}
