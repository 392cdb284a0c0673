/**
 * A model server that is one rank of a group: the state it reports and the orders it accepts.
 *
 * @packageDocumentation
 */

import type { Brand, GroupName } from "@magnolialock/kernel";

/** Version of a map; a rank accepts only versions higher than those before. */
export type MapVersion = Brand<number, "MapVersion">;
/** Number of a forward pass, which all ranks run together. */
export type PassNumber = Brand<number, "PassNumber">;
/** Fencing token of an order; a rank refuses orders whose token is lower than the highest it has seen. */
export type FencingToken = Brand<number, "FencingToken">;

/** Experts that each rank holds, by expert set, then rank. */
export type ExpertPlacement = readonly (readonly (readonly number[])[])[];

/** A rank's view of its group. */
export interface GroupMembership {
    /** Name of the group. */
    readonly name: GroupName;
    /**
     * Epoch of the group; a group that re-forms starts a new epoch and loses its maps, armed maps and holds.
     */
    readonly epoch: number;
    /** Rank of this server. */
    readonly rank: number;
    /** Whether the group runs passes. */
    readonly isOpen: boolean;
    /** Number of ranks. */
    readonly size: number;
}

/** State of a rank. */
export interface RankReport {
    /** Group of the rank; undefined while it belongs to none. */
    readonly group: GroupMembership | undefined;
    /** Last pass that started. */
    readonly pass: PassNumber;
    /** Map in force. */
    readonly mapVersion: MapVersion;
    /** Map for which the rank has copied all experts; undefined if there is none. */
    readonly preparedVersion: MapVersion | undefined;
    /** Map that the rank will switch to, and the first pass that runs on it. */
    readonly armed: { readonly version: MapVersion; readonly pass: PassNumber; } | undefined;
    /** Pass that the group does not start until this rank releases it. */
    readonly heldPass: PassNumber | undefined;
    /** Requests in progress. */
    readonly runningRequests: number;
    /** Factor by which the rank is slower than its engine's nominal speed; 1 is normal. */
    readonly slowness: number;
}

/** How often the requests of a rank selected each expert since the rank's start. */
export interface ExpertCounts {
    /** Epoch of the group. */
    readonly epoch: number;
    /** Counts by set and expert, one set after the other. */
    readonly counts: readonly number[];
}

/** Experts that a rank holds. */
export interface HeldExperts {
    /** Epoch of the group. */
    readonly epoch: number;
    /** Map in force. */
    readonly mapVersion: MapVersion;
    /** Experts of this rank, by set. */
    readonly experts: readonly (readonly number[])[];
}

/** Order to a rank. */
export type RankOrder =
    /** Copies the experts of a map that the rank lacks. */
    | { readonly kind: "prepare"; readonly version: MapVersion; readonly placement: ExpertPlacement; }
    /** Schedules the switch to a prepared map for the start of a pass. */
    | { readonly kind: "arm"; readonly version: MapVersion; readonly pass: PassNumber; }
    /** Cancels an armed map; with the version of any other map it only raises the fence. */
    | { readonly kind: "disarm"; readonly version: MapVersion; }
    /** Blocks the group from starting a pass. */
    | { readonly kind: "hold"; readonly pass: PassNumber; }
    /** Releases a held pass. */
    | { readonly kind: "release"; readonly pass: PassNumber; };

/** Outcome of an order. */
export type OrderResult =
    /** The order was started or carried out, or its effect was already in place. */
    | "accepted"
    /** The order conflicts with the rank's state, or belongs to another epoch. */
    | "conflict"
    /** The rank has seen a higher fencing token. */
    | "fenced"
    /** Another server now has the address, or the server does not support the order. */
    | "refused"
    /** No answer arrived: the order may have been accepted, or may still be carried out seconds later. */
    | "unanswered";

/** Client of a rank's server. */
export interface RankServer {
    /**
     * Reads the rank's state.
     *
     * @param signal - cancels the call
     */
    report(signal: AbortSignal): Promise<RankReport>;
    /**
     * Reads how often each expert was selected.
     *
     * @param signal - cancels the call
     */
    counts(signal: AbortSignal): Promise<ExpertCounts>;
    /**
     * Reads which experts the rank holds.
     *
     * @param signal - cancels the call
     */
    heldExperts(signal: AbortSignal): Promise<HeldExperts>;
    /**
     * Sends an order.
     *
     * @param order - the order
     * @param epoch - epoch of the group for which the order is valid
     * @param token - fencing token
     * @param signal - cancels the call
     */
    order(order: RankOrder, epoch: number, token: FencingToken, signal: AbortSignal): Promise<OrderResult>;
}
