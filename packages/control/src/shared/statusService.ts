/**
 * Handler of the `GetStatus` call, by which operators' tools read the status of a process.
 *
 * @packageDocumentation
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { type Clock, formatFinding, VERSION } from "@magnolialock/kernel";
import type { GetStatusResponse, GetStatusResponseSchema } from "@magnolialock/protocol";
import type { MemberIdentity } from "../types/member.ts";
import type { ConfigurationStore } from "./configurationStore.ts";
import type { Membership } from "./membership/membership.ts";

/** Additional status of an agent. */
export interface AgentStatus {
    /** Backend server of the agent. */
    readonly server: string;
    /** Whether the backend server is cold, warming or warm. */
    readonly warmth: string;
    /** Number of running calls. */
    readonly running: number;
    /** Number of queued calls. */
    readonly queued: number;
    /** Current limit of concurrent calls. */
    readonly limit: number;
    /** Whether the agent is draining and refuses new calls. */
    readonly isDraining: boolean;
}

/** Options of {@link createStatusReader}. */
export interface StatusReaderOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Identity of this process. */
    readonly self: MemberIdentity;
    /** Configuration in force. */
    readonly store: ConfigurationStore;
    /** Membership of the fleet; undefined for a standalone process. */
    readonly membership?: Membership | undefined;
    /** Returns the additional status of an agent; undefined before it has started. */
    readonly agent?: () => AgentStatus | undefined;
}

/** Status of a process as a protobuf message. */
export type StatusMessage = Exclude<MessageInitShape<typeof GetStatusResponseSchema>, GetStatusResponse>;

const describeConfiguration = (store: ConfigurationStore, clock: Clock): StatusMessage => {
    const { current, rejected, confirmedAtMs } = store;
    const isRejectedNewer = rejected !== undefined && rejected.revision > (current?.revision ?? 0);
    return {
        revision: BigInt(current?.revision ?? 0),
        contentHash: current?.contentHash ?? "",
        rejectedRevision: BigInt(isRejectedNewer ? rejected.revision : 0),
        rejectedFindings: isRejectedNewer ? rejected.findings.map(formatFinding) : [],
        confirmedAgeMs: confirmedAtMs === undefined
            ? undefined
            : BigInt(Math.max(0, Math.round(clock.nowMs() - confirmedAtMs))),
    };
};

const describeMembership = (membership: Membership, clock: Clock): StatusMessage => ({
    incarnation: String(membership.selfReport.incarnation),
    isLeaving: membership.selfReport.state === "leaving",
    members: [
        ...membership.members.map(({ name, role, dataCentre, address, state }) => ({
            instance: name,
            role,
            dataCentre,
            address,
            state,
        })),
        ...membership.otherDataCentres.flatMap(({ contacts }) =>
            contacts.map(({ name, role, dataCentre, address }) => ({
                instance: name,
                role,
                dataCentre,
                address,
                state: "alive",
            }))
        ),
    ],
    dataCentres: membership.otherDataCentres.map(({ dataCentre, entryCount, agentCount, createdAtMs }) => ({
        dataCentre,
        entryCount,
        agentCount,
        ageMs: BigInt(Math.max(0, Math.round(clock.nowMs() - createdAtMs))),
    })),
});

/**
 * Creates the handler of `GetStatus`.
 *
 * @param options - clock, identity, configuration and membership
 * @returns function that returns the current status
 */
export const createStatusReader = (options: StatusReaderOptions): () => StatusMessage => {
    const { clock, self, store, membership, agent } = options;
    return () => ({
        instance: self.name,
        role: self.role,
        dataCentre: self.dataCentre,
        address: self.address,
        version: VERSION,
        ...describeConfiguration(store, clock),
        ...(membership ? describeMembership(membership, clock) : {}),
        ...agent?.(),
    });
};
