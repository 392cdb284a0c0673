/**
 * A model server that is one rank of a group: what it reports and which orders it takes.
 *
 * @packageDocumentation
 */

import type { Brand, GroupName } from "@magnolialock/kernel";

/** Number of a map; a rank takes only rising ones. */
export type MapVersion = Brand<number, "MapVersion">;
/** Number of a pass that all ranks run together. */
export type PassNumber = Brand<number, "PassNumber">;
/** Number that a rank's orders carry; an order with a lower one than seen is refused. */
export type FencingToken = Brand<number, "FencingToken">;

/** Experts by set, then rank. */
export type ExpertPlacement = readonly (readonly (readonly number[])[])[];

/** What a rank says of its group. */
export interface GroupMembership {
    /** Name of the group. */
    readonly name: GroupName;
    /** Life of the group; a group that forms again has a new one and forgets maps, arms and holds. */
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
    /** Its group; undefined while it belongs to none. */
    readonly group: GroupMembership | undefined;
    /** Last pass that was begun. */
    readonly pass: PassNumber;
    /** Map in force. */
    readonly mapVersion: MapVersion;
    /** Map whose experts are all copied; undefined if none is. */
    readonly preparedVersion: MapVersion | undefined;
    /** Map that the rank switches to, and the pass that begins with it. */
    readonly armed: { readonly version: MapVersion; readonly pass: PassNumber; } | undefined;
    /** Pass that the group does not begin before this rank is released. */
    readonly heldPass: PassNumber | undefined;
    /** Requests that run. */
    readonly runningRequests: number;
    /** Factor by which the rank is slower than its engine should be; 1 is normal. */
    readonly slowness: number;
}

/** How often the requests of a rank chose each expert since its start, by set and expert, one set after the other. */
export interface ExpertCounts {
    /** Life of the group. */
    readonly epoch: number;
    /** The counts. */
    readonly counts: readonly number[];
}

/** Experts that a rank holds. */
export interface HeldExperts {
    /** Life of the group. */
    readonly epoch: number;
    /** Map in force. */
    readonly mapVersion: MapVersion;
    /** Experts of this rank, by set. */
    readonly experts: readonly (readonly number[])[];
}

/** An order to a rank. */
export type RankOrder =
    /** Copies the experts of a map that the rank lacks. */
    | { readonly kind: "prepare"; readonly version: MapVersion; readonly placement: ExpertPlacement; }
    /** Switches to a prepared map as a pass begins. */
    | { readonly kind: "arm"; readonly version: MapVersion; readonly pass: PassNumber; }
    /** Forgets an armed map; of any other version it only raises the fence. */
    | { readonly kind: "disarm"; readonly version: MapVersion; }
    /** Keeps the group from beginning a pass. */
    | { readonly kind: "hold"; readonly pass: PassNumber; }
    /** Releases a held pass. */
    | { readonly kind: "release"; readonly pass: PassNumber; };

/** What became of an order. */
export type OrderResult =
    /** It was begun, done, or its state holds already. */
    | "accepted"
    /** It does not fit the rank's state, or belongs to another epoch. */
    | "conflict"
    /** A higher fencing token was seen. */
    | "fenced"
    /** Another server has the address, or the order is not known. */
    | "refused"
    /** No answer: it may have been accepted, or may be carried out seconds later. */
    | "unanswered";

/** A rank's own server, reached from its own machine. */
export interface RankServer {
    /**
     * Reads the rank's state.
     *
     * @param signal - gives the call up
     */
    report(signal: AbortSignal): Promise<RankReport>;
    /**
     * Reads how often each expert was chosen.
     *
     * @param signal - gives the call up
     */
    counts(signal: AbortSignal): Promise<ExpertCounts>;
    /**
     * Reads which experts the rank holds.
     *
     * @param signal - gives the call up
     */
    heldExperts(signal: AbortSignal): Promise<HeldExperts>;
    /**
     * Gives an order.
     *
     * @param order - the order
     * @param epoch - life of the group that it is for
     * @param token - fencing token
     * @param signal - gives the call up
     */
    order(order: RankOrder, epoch: number, token: FencingToken, signal: AbortSignal): Promise<OrderResult>;
}
