/**
 * Events of the rank agent, numbers 9000 to 9999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The agent runs. */
export const rankStarted = defineEvent({
    number: 9001,
    name: "rank.process.started",
    level: "info",
    summary: "The rank agent answers the other ranks of its group.",
});

/** The agent ends. */
export const rankStopped = defineEvent({
    number: 9002,
    name: "rank.process.stopped",
    level: "info",
    summary: "The rank agent has ended.",
});

/** The rank's server does not answer. */
export const rankServerLost = defineEvent({
    number: 9003,
    name: "rank.server.lost",
    level: "warning",
    summary: "The state of the rank's server cannot be read.",
});

/** The rank's server answers. */
export const rankServerFound = defineEvent({
    number: 9004,
    name: "rank.server.found",
    level: "info",
    summary: "The state of the rank's server can be read.",
});

/** The group formed. */
export const groupFormed = defineEvent({
    number: 9005,
    name: "rank.group.formed",
    level: "info",
    summary: "The group has a new life: its maps, arms and holds of before are gone.",
});

/** This agent leads. */
export const leaderBegan = defineEvent({
    number: 9010,
    name: "rank.leader.began",
    level: "info",
    summary: "No agent of a lower rank asks for states any more; this one plans the maps of the group.",
});

/** This agent no longer leads. */
export const leaderEnded = defineEvent({
    number: 9011,
    name: "rank.leader.ended",
    level: "info",
    summary: "An agent of a lower rank plans the maps of the group.",
});

/** A map was planned. */
export const mapPlanned = defineEvent({
    number: 9020,
    name: "rank.map.planned",
    level: "info",
    summary: "A new map would even out the load of the ranks; its experts are copied.",
});

/** A map is in force. */
export const mapSwitched = defineEvent({
    number: 9021,
    name: "rank.map.switched",
    level: "info",
    summary: "All ranks were armed with the new map before its first pass was released.",
});

/** A round was given up. */
export const roundAborted = defineEvent({
    number: 9022,
    name: "rank.round.aborted",
    level: "warning",
    summary: "A change of map was given up; no rank is armed any more and the held pass was released.",
});

/** A hold of an earlier life was found. */
export const holdFound = defineEvent({
    number: 9023,
    name: "rank.hold.found",
    level: "warning",
    summary:
        "This rank holds a pass for a round that is not known any more; all ranks are disarmed, then it is released.",
});

/** An order has no answer. */
export const orderUnanswered = defineEvent({
    number: 9030,
    name: "rank.order.unanswered",
    level: "warning",
    summary:
        "An order to the rank's server had no answer; the fence is raised so that it cannot take effect late.",
});

/** Another agent cannot be asked. */
export const rankPeerFailed = defineEvent({
    number: 9031,
    name: "rank.peer.failed",
    level: "info",
    summary: "The agent of another rank did not answer.",
});

/** The list of servers cannot be read. */
export const rankListFailed = defineEvent({
    number: 9032,
    name: "rank.list.failed",
    level: "info",
    summary: "No entry told the backend servers of the service; the known list stays in use.",
});
