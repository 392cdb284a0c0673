/**
 * The agent's own rank as a peer of its group.
 *
 * @packageDocumentation
 */

import type { HoldCall, HoldReply } from "../types/rankMessages.ts";
import type { GroupMembership } from "../types/rankServer.ts";
import type { RankMember } from "./rankMember.ts";
import type { RankPeer } from "./switchRound.ts";

/** Pseudo-rank under which an agent reads the status of its own rank. */
export const OWN_RANK = -1;

/** Components of the agent that answer its calls. */
export interface LocalRank {
    /** Sends orders to the rank's server. */
    readonly member: RankMember;
    /** Handles the calls about a held pass. */
    readonly holder: { handleCall(call: HoldCall): Promise<HoldReply>; };
}

/**
 * Creates a peer for the agent's own rank that calls it directly instead of over the network.
 *
 * @param parts - components of the agent
 * @param group - group of the rank
 */
export const createLocalPeer = ({ holder, member }: LocalRank, { rank }: GroupMembership): RankPeer => ({
    rank,
    status: () => member.status(OWN_RANK),
    report: () => member.readReport(),
    sendCall: call => member.handleCall(call),
    sendHoldCall: call => holder.handleCall(call),
    // The order to hold a pass must come from another machine, so no leader holds one at its own rank.
    hold: async () => "refused",
});
