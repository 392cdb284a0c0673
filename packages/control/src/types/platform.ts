/**
 * The platform as the system sees it: values that can be read and watched, never written.
 *
 * @packageDocumentation
 */

import type { Address, DataCentreId, InstanceId, Revision } from "@magnolialock/kernel";

/** One version of the rule file as the platform holds it. */
export interface PublishedRules {
    /** Number that the platform gave it; totally ordered. */
    readonly revision: Revision;
    /** The file. */
    readonly bytes: Uint8Array;
}

/** A process on the platform's list, which lags. */
export interface ListedInstance {
    /** Its name. */
    readonly name: InstanceId;
    /** What it runs. */
    readonly role: "entry" | "agent";
    /** Where it runs. */
    readonly dataCentre: DataCentreId;
    /** Address for calls from other processes. */
    readonly address: Address;
    /** Whether it is about to leave. */
    readonly isLeaving: boolean;
}

/** One version of the platform's list. */
export interface PublishedInstances {
    /** Number of the version. */
    readonly index: number;
    /** Live and leaving processes. */
    readonly instances: readonly ListedInstance[];
}

/** The platform's configuration service and instance list. Each call counts against its rate. */
export interface Platform {
    /**
     * Reads the rules; waits until they differ from a known revision.
     *
     * @param known - revision that the caller has; undefined returns at once
     * @param waitMs - longest wait, in milliseconds
     * @param signal - gives the call up
     * @returns the rules; undefined when nothing is published or nothing changed in time
     */
    watchRules(
        known: Revision | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PublishedRules | undefined>;
    /**
     * Reads the list; waits until it differs from a known version.
     *
     * @param known - version that the caller has; undefined returns at once
     * @param waitMs - longest wait, in milliseconds
     * @param signal - gives the call up
     * @returns the list; undefined when nothing changed in time
     */
    watchInstances(
        known: number | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PublishedInstances | undefined>;
}
