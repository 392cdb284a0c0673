/**
 * Settings of one process: its location, its listen addresses and the bounds of the installation.
 *
 * @packageDocumentation
 */

import type { MachineLimits } from "@magnolialock/entry/src/shared/callers/callerBounds.ts";
import type { Address, DataCentreId, InstanceId } from "@magnolialock/kernel";

/** Bounds that an installation guarantees or requires. */
export interface SafetyBounds {
    /** Maximum retries of all instances together per request, within {@link SafetyBounds.retryWindowMs}. */
    readonly retryRatio: number;
    /** Retries of all instances together that are allowed beyond the ratio, within the window. */
    readonly retrySlack: number;
    /** Length of the window in which retries are counted, in milliseconds. */
    readonly retryWindowMs: number;
    /** Factor by which a cold server's rate limit may be exceeded. */
    readonly coldOvershoot: number;
    /** Requests per second that a cold server accepts beyond that. */
    readonly coldSlack: number;
    /** Grace period between the signal to stop and the end of the process, in milliseconds. */
    readonly graceMs: number;
}

/** Settings of one process. */
export interface DirectSettings {
    /** Name of the instance. */
    readonly instance: InstanceId;
    /** Data centre of the instance. */
    readonly dataCentre: DataCentreId;
    /** Listen address for callers. */
    readonly callers: Address;
    /** Listen address of the readiness check. */
    readonly readiness: Address;
    /** Listen address for metrics; undefined disables them. */
    readonly metrics: Address | undefined;
    /** Listen address for other instances. */
    readonly peers: Address;
    /** Addresses of some other instances, for discovery at start. */
    readonly seeds: readonly Address[];
    /** Bounds of the installation. */
    readonly bounds: SafetyBounds;
    /** Resources of the machine that the process may use; undefined for those of the smallest machine. */
    readonly machine?: MachineLimits;
}
