/**
 * Read-only interface to the platform: published values can be read and watched, never written.
 *
 * @packageDocumentation
 */

import type { Address, DataCentreId, InstanceId, Revision } from "@magnolialock/kernel";

/** One published revision of the rule file. */
export interface PublishedRules {
    /** Revision number assigned by the platform; totally ordered. */
    readonly revision: Revision;
    /** Content of the rule file. */
    readonly bytes: Uint8Array;
}

/** A process in the platform's instance list. The list lags behind the actual state. */
export interface ListedInstance {
    /** Name of the process. */
    readonly name: InstanceId;
    /** Role of the process. */
    readonly role: "entry" | "agent";
    /** Data centre that it runs in. */
    readonly dataCentre: DataCentreId;
    /** Address for calls from other processes. */
    readonly address: Address;
    /** Whether the process is shutting down. */
    readonly isLeaving: boolean;
}

/** One version of the platform's instance list. */
export interface PublishedInstances {
    /** Version number of the list. */
    readonly index: number;
    /** Live and leaving processes. */
    readonly instances: readonly ListedInstance[];
}

/**
 * The platform's configuration service and instance list. Each call counts against the platform's rate limit.
 */
export interface Platform {
    /**
     * Reads the rules. With a known revision, waits until the published one differs (long poll).
     *
     * @param known - revision that the caller already has; undefined returns immediately
     * @param waitMs - maximum wait, in milliseconds
     * @param signal - cancels the call
     * @returns the rules; undefined if nothing is published or nothing changed within the wait
     */
    watchRules(
        known: Revision | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PublishedRules | undefined>;
    /**
     * Reads the instance list. With a known version, waits until the list differs from it (long poll).
     *
     * @param known - version that the caller already has; undefined returns immediately
     * @param waitMs - maximum wait, in milliseconds
     * @param signal - cancels the call
     * @returns the list; undefined if nothing changed within the wait
     */
    watchInstances(
        known: number | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PublishedInstances | undefined>;
}
