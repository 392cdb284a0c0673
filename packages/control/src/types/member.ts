/**
 * Processes of the fleet as membership knows them.
 *
 * @packageDocumentation
 */

import type { Address, DataCentreId, InstanceId } from "@magnolialock/kernel";

/** What a process runs. */
export type MemberRole = "entry" | "agent";

/** States in the order of precedence: of two reports about one incarnation, the later state counts. */
export const MEMBER_STATES = ["alive", "suspect", "leaving", "dead"] as const;

/** State of a member. */
export type MemberState = typeof MEMBER_STATES[number];

/** Who a process is. */
export interface MemberIdentity {
    /** Its name. */
    readonly name: InstanceId;
    /** What it runs. */
    readonly role: MemberRole;
    /** Where it runs. */
    readonly dataCentre: DataCentreId;
    /** Address for calls and datagrams from other processes. */
    readonly address: Address;
}

/** A report about a process. */
export interface MemberReport extends MemberIdentity {
    /** Rises when the process restarts or refutes a suspicion; 0 when known only from the platform's list. */
    readonly incarnation: number;
    /** Its state. */
    readonly state: MemberState;
    /** For suspects: who suspects it. */
    readonly accuser?: InstanceId;
}

/** Live processes of a data centre, as one of its members last told. */
export interface DataCentreSummary {
    /** The data centre. */
    readonly dataCentre: DataCentreId;
    /** When the summary was made, on this process's monotonic clock in milliseconds. */
    readonly createdAtMs: number;
    /** Live entries. */
    readonly entryCount: number;
    /** Live agents. */
    readonly agentCount: number;
    /** Some of them, to talk to. */
    readonly contacts: readonly MemberIdentity[];
}
