/**
 * Messages between the agents of a group's ranks.
 *
 * @packageDocumentation
 */

import type { BackendServerId, IncarnationId } from "@magnolialock/kernel";
import type { ExpertPlacement, MapVersion, PassNumber, RankReport } from "./rankServer.ts";

/** Orders rounds: a round is refused once one with a higher ballot was seen. */
export interface Ballot {
    /** Wall-clock time of the round's start, raised above every ballot that its leader has seen, in milliseconds. */
    readonly number: number;
    /** Rank of the leader; decides between equal numbers. */
    readonly rank: number;
}

/** What an agent says of its rank. */
export interface RankStatus {
    /** Backend server beside which it stands. */
    readonly server: BackendServerId | undefined;
    /** Life of the agent. */
    readonly incarnation: IncarnationId;
    /** State of the rank, read just now. */
    readonly report: RankReport;
    /** Experts that the rank holds, by set. */
    readonly experts: readonly (readonly number[])[];
    /** How often its requests chose each expert since the asking rank asked last, by set and expert. */
    readonly newCounts: readonly number[];
    /** Highest ballot that the agent has seen. */
    readonly promised: Ballot;
}

/** Calls of a round to an agent. */
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
        /** Hash of the map's content: a version alone may have been given to two maps. */
        readonly contentHash: string;
        readonly pass: PassNumber;
    }
    /** Disarms what the leader of this ballot has armed for a pass; nothing of this or an earlier ballot is armed later. */
    | {
        readonly kind: "disarm";
        readonly ballot: Ballot;
        readonly epoch: number;
        readonly pass: PassNumber;
    };

/** Answer to a call of a round. */
export type RoundReply =
    | { readonly kind: "done"; }
    | { readonly kind: "refused"; readonly reason: string; readonly promised: Ballot; };
