/**
 * Calls of a map switch to a group member, and the member's replies.
 *
 * @packageDocumentation
 */

import type { MapActivation } from "../../types/mapActivation.ts";

/** Why a member refused a call. */
export type RefusalReason =
    | "lower-epoch"
    | "other-roster"
    | "restarted"
    | "too-late"
    | "engine"
    | "not-armed"
    | "pending";

/** Reply of a member: its state, and whether it accepted the call. */
export interface MemberReply {
    /** Why the call was refused; undefined if it was accepted. */
    readonly refusal: RefusalReason | undefined;
    /** Rank of the member. */
    readonly rank: number;
    /** Incarnation of the agent. */
    readonly incarnation: string;
    /** Incarnation of the engine. */
    readonly engineIncarnation: string;
    /** Highest epoch that the member has promised; it refuses rounds of lower epochs. */
    readonly promisedEpoch: number;
    /** Decided activations that the member knows, the oldest first. */
    readonly decided: readonly MapActivation[];
    /** Armed activation whose decision the member does not know yet. */
    readonly armed: MapActivation | undefined;
    /** Step that the engine runs or waits to start. */
    readonly step: number;
    /** Whether the engine runs on a decided map. */
    readonly isSettled: boolean;
}

/** State of the group that a round establishes at all members. */
export interface Settlement {
    /** Epoch of the round. */
    readonly epoch: number;
    /** Decided activations, the oldest first. */
    readonly decided: readonly MapActivation[];
    /** Step that the group is in. */
    readonly step: number;
    /** Incarnation of the member's agent when it reported. */
    readonly incarnation: string;
    /** Incarnation of the member's engine when it reported. */
    readonly engineIncarnation: string;
}

/** Interface to one member, local or over the network. */
export interface MemberCalls {
    /** Rank of the member. */
    readonly rank: number;
    /** Asks the member to promise an epoch and to refuse all lower ones. */
    prepare(epoch: number): Promise<MemberReply>;
    /** Brings the member and its engine to the group's decided state. */
    settle(settlement: Settlement): Promise<MemberReply>;
    /** Arms the member's engine for an activation. */
    arm(activation: MapActivation): Promise<MemberReply>;
    /** Tells the member that the activation of an epoch is decided. */
    commit(epoch: number): Promise<MemberReply>;
    /** Tells the member that the activation of an epoch will never be decided. */
    abort(epoch: number): Promise<MemberReply>;
    /** Reads the member's state. */
    report(): Promise<MemberReply>;
}
