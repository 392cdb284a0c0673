/**
 * Events of the rank agent, numbers 9000 to 9999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The agent has started. */
export const rankStarted = defineEvent({
    number: 9001,
    name: "rank.process.started",
    level: "info",
    summary: "The rank agent has started and answers the agents of the other ranks.",
});

/** The agent has stopped. */
export const rankStopped = defineEvent({
    number: 9002,
    name: "rank.process.stopped",
    level: "info",
    summary: "The rank agent has stopped.",
});

/** The rank's server cannot be read. */
export const rankServerLost = defineEvent({
    number: 9003,
    name: "rank.server.lost",
    level: "warning",
    summary: "The state of the rank's server cannot be read.",
});

/** The rank's server can be read again. */
export const rankServerFound = defineEvent({
    number: 9004,
    name: "rank.server.found",
    level: "info",
    summary: "The state of the rank's server can be read again.",
});

/** The group has formed. */
export const groupFormed = defineEvent({
    number: 9005,
    name: "rank.group.formed",
    level: "info",
    summary: "The group has started a new epoch; maps, armed maps and holds of the previous epoch are gone.",
});

/** This agent has become the leader. */
export const leaderBegan = defineEvent({
    number: 9010,
    name: "rank.leader.began",
    level: "info",
    summary: "No agent of a lower rank requests statuses any more; this agent plans the maps of the group.",
});

/** This agent is no longer the leader. */
export const leaderEnded = defineEvent({
    number: 9011,
    name: "rank.leader.ended",
    level: "info",
    summary: "An agent of a lower rank requests statuses again and plans the maps of the group.",
});

/** A new map was planned. */
export const mapPlanned = defineEvent({
    number: 9020,
    name: "rank.map.planned",
    level: "info",
    summary: "A new map would balance the load of the ranks; the ranks copy its experts.",
});

/** A new map is in force. */
export const mapSwitched = defineEvent({
    number: 9021,
    name: "rank.map.switched",
    level: "info",
    summary: "All ranks were armed with the new map before its first pass was released.",
});

/** A map switch was abandoned. */
export const roundAborted = defineEvent({
    number: 9022,
    name: "rank.round.aborted",
    level: "warning",
    summary: "A map switch was abandoned; no rank is armed any more and the held pass was released.",
});

/** A pass is held for a round that the agent does not know. */
export const holdFound = defineEvent({
    number: 9023,
    name: "rank.hold.found",
    level: "warning",
    summary:
        "A pass is held here for a round unknown to the agent; all ranks are disarmed, then it is released.",
});

/** An order was not answered. */
export const orderUnanswered = defineEvent({
    number: 9030,
    name: "rank.order.unanswered",
    level: "warning",
    summary:
        "An order to the rank's server was not answered; a raised fence keeps it from taking effect late.",
});

/** The agent of another rank did not answer. */
export const rankPeerFailed = defineEvent({
    number: 9031,
    name: "rank.peer.failed",
    level: "info",
    summary: "The agent of another rank did not answer.",
});

/** The list of backend servers cannot be read. */
export const rankListFailed = defineEvent({
    number: 9032,
    name: "rank.list.failed",
    level: "info",
    summary: "No entry returned the service's list of backend servers; the last known list stays in use.",
});
