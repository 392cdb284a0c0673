/**
 * Types of the membership protocol: processes of the fleet and reports about them.
 *
 * @packageDocumentation
 */

import type { Address, DataCentreId, InstanceId } from "@magnolialock/kernel";

/** Role of a process. */
export type MemberRole = "entry" | "agent";

/**
 * States in ascending precedence: of two reports with the same incarnation, the later state in this list
 * wins.
 */
export const MEMBER_STATES = ["alive", "suspect", "leaving", "dead"] as const;

/** State of a member. */
export type MemberState = typeof MEMBER_STATES[number];

/** Identity of a process. */
export interface MemberIdentity {
    /** Name of the process. */
    readonly name: InstanceId;
    /** Role of the process. */
    readonly role: MemberRole;
    /** Data centre that it runs in. */
    readonly dataCentre: DataCentreId;
    /** Address for calls and datagrams from other processes. */
    readonly address: Address;
}

/** A statement about the state of a process, as members exchange it. */
export interface MemberReport extends MemberIdentity {
    /**
     * Increases when the process restarts or refutes a suspicion; 0 if known only from the platform's list.
     */
    readonly incarnation: number;
    /** Reported state. */
    readonly state: MemberState;
    /** For a suspect: the process that suspects it. */
    readonly accuser?: InstanceId;
}

/** Number of live processes in a data centre, as last reported by one of its members. */
export interface DataCentreSummary {
    /** The data centre. */
    readonly dataCentre: DataCentreId;
    /** Time at which the summary was created, on this process's monotonic clock in milliseconds. */
    readonly createdAtMs: number;
    /** Number of live entries. */
    readonly entryCount: number;
    /** Number of live agents. */
    readonly agentCount: number;
    /** Some of the live processes, as contacts for other data centres. */
    readonly contacts: readonly MemberIdentity[];
}
