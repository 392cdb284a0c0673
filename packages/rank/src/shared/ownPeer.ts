/**
 * The own rank among the ranks of its group.
 *
 * @packageDocumentation
 */

import type { HoldCall, HoldReply } from "../types/rankMessages.ts";
import type { GroupMembership } from "../types/rankServer.ts";
import type { RankMember } from "./rankMember.ts";
import type { RankPeer } from "./switchRound.ts";

/** Name under which an agent asks its own rank. */
export const OWN_RANK = -1;

/** The parts of one agent. */
export interface OwnRank {
    /** Orders to its server. */
    readonly member: RankMember;
    /** Passes that are held there. */
    readonly holder: { take(call: HoldCall): Promise<HoldReply>; };
}

/**
 * Lets an agent call itself as it calls the others.
 *
 * @param parts - the own rank
 * @param group - its group
 */
export const ownPeer = ({ holder, member }: OwnRank, { rank }: GroupMembership): RankPeer => ({
    rank,
    status: () => member.status(OWN_RANK),
    report: () => member.readReport(),
    send: call => member.take(call),
    sendHold: call => holder.take(call),
    // A pass is held from another machine, so no leader holds one at its own rank.
    hold: async () => "refused",
});
