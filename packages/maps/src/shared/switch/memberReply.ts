/**
 * What a member of a group answers to the calls of a map switch.
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

/** State of a member. */
export interface MemberReply {
    /** Why the call was refused; undefined if it was accepted. */
    readonly refusal: RefusalReason | undefined;
    /** Rank of the member. */
    readonly rank: number;
    /** Life of the agent. */
    readonly incarnation: string;
    /** Life of the engine. */
    readonly engineIncarnation: string;
    /** Epoch that the member has promised to. */
    readonly promisedEpoch: number;
    /** Decided activations that it knows, the oldest first. */
    readonly decided: readonly MapActivation[];
    /** Activation that waits for its decision. */
    readonly armed: MapActivation | undefined;
    /** Step that the engine is in or waits to start. */
    readonly step: number;
    /** Whether the engine runs on a decided map. */
    readonly isSettled: boolean;
}

/** Arguments of a settlement. */
export interface Settlement {
    /** Epoch of the round. */
    readonly epoch: number;
    /** Decided activations, the oldest first. */
    readonly decided: readonly MapActivation[];
    /** Step that the group is in. */
    readonly step: number;
    /** Life of the agent that reported. */
    readonly incarnation: string;
    /** Life of the engine that reported. */
    readonly engineIncarnation: string;
}

/** Calls to one member, local or over the network. */
export interface MemberCalls {
    /** Rank of the member. */
    readonly rank: number;
    /** Promises to an epoch. */
    prepare(epoch: number): Promise<MemberReply>;
    /** Tells what is decided. */
    settle(settlement: Settlement): Promise<MemberReply>;
    /** Arms the member. */
    arm(activation: MapActivation): Promise<MemberReply>;
    /** Says that an epoch's activation is decided. */
    commit(epoch: number): Promise<MemberReply>;
    /** Says that an epoch's activation never will be decided. */
    abort(epoch: number): Promise<MemberReply>;
    /** Reads the state. */
    report(): Promise<MemberReply>;
}
