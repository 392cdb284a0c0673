/**
 * Messages between the agents of the ranks of a group.
 *
 * @packageDocumentation
 */

import type { BackendServerId, IncarnationId } from "@magnolialock/kernel";
import type { ExpertPlacement, FencingToken, MapVersion, PassNumber, RankReport } from "./rankServer.ts";

/** Precedence of a round: an agent that has seen a higher ballot refuses the round. */
export interface Ballot {
    /**
     * Wall-clock time at the start of the round, raised above every ballot that its leader has seen, in
     * milliseconds.
     */
    readonly number: number;
    /** Rank of the leader; breaks ties between equal numbers. */
    readonly rank: number;
}

/** State of a rank and its agent, with all data that a leader plans with. */
export interface RankStatus {
    /** Backend server that the agent controls; undefined until the entries have listed it. */
    readonly server: BackendServerId | undefined;
    /** Incarnation of the agent; a restart begins a new one. */
    readonly incarnation: IncarnationId;
    /** State of the rank, read for this answer. */
    readonly report: RankReport;
    /** Experts that the rank holds, by set. */
    readonly experts: readonly (readonly number[])[];
    /**
     * How often its requests selected each expert since the asking rank's previous read, by set and expert.
     */
    readonly newCounts: readonly number[];
    /** Highest ballot that the agent has seen. */
    readonly promised: Ballot;
}

/** Call of a round's leader or pass holder to an agent. */
export type RoundCall =
    | {
        readonly kind: "prepare";
        readonly ballot: Ballot;
        readonly epoch: number;
        readonly version: MapVersion;
        readonly placement: ExpertPlacement;
    }
    | {
        readonly kind: "arm";
        readonly ballot: Ballot;
        readonly epoch: number;
        readonly version: MapVersion;
        /**
         * Hash of the map's content: the version alone does not identify a map, since two maps may share one.
         */
        readonly contentHash: string;
        readonly pass: PassNumber;
    }
    /**
     * Disarms what this ballot's round armed for a pass; later arm calls of this or a lower ballot are
     * refused.
     */
    | {
        readonly kind: "disarm";
        readonly ballot: Ballot;
        readonly epoch: number;
        readonly pass: PassNumber;
        /** Rank at which the pass is held; a map armed under another rank's hold stays armed. */
        readonly holder: number;
        /** Map of the round; undefined when the holder's agent has restarted and no longer knows it. */
        readonly version: MapVersion | undefined;
    };

/** Call of a leader to the agent of the rank at which it holds a pass. */
export type HoldCall =
    /** Requests a fencing token with which the leader may hold a pass at the rank. */
    | { readonly kind: "grant"; readonly ballot: Ballot; readonly epoch: number; }
    /** Tells the agent to arm all ranks for the held pass and then to release the pass. */
    | {
        readonly kind: "finish";
        readonly ballot: Ballot;
        readonly epoch: number;
        readonly version: MapVersion;
        readonly contentHash: string;
        readonly pass: PassNumber;
    };

/** Data that the leader needs to hold a pass at another rank. */
export interface HoldReservation {
    /** Fencing token for the single hold order that the leader may send. */
    readonly token: FencingToken;
    /** Last pass that started. */
    readonly pass: PassNumber;
    /** Pass that an earlier order of this round already holds. */
    readonly heldPass: PassNumber | undefined;
}

/** Answer to a {@link HoldCall}. */
export type HoldReply =
    | { readonly kind: "granted"; } & HoldReservation
    | { readonly kind: "switched"; }
    | { readonly kind: "refused"; readonly reason: string; };

/** Answer to a {@link RoundCall}. */
export type RoundReply =
    | { readonly kind: "done"; }
    | { readonly kind: "refused"; readonly reason: string; readonly promised: Ballot; };
