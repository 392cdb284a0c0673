/**
 * Definitions of the agent's events, numbers 2000 to 2999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The agent has started. */
export const agentStarted = defineEvent({
    number: 2001,
    name: "agent.process.started",
    level: "info",
    summary: "The agent has started and listens on its address.",
});

/** The agent starts to drain. */
export const agentDraining = defineEvent({
    number: 2002,
    name: "agent.process.draining",
    level: "info",
    summary: "The agent is stopping: it refuses new calls and waits for the running ones.",
});

/** The drain of the agent is over. */
export const agentStopped = defineEvent({
    number: 2003,
    name: "agent.process.stopped",
    level: "info",
    summary: "The agent has finished draining and is shutting down.",
});

/** A request was sent to the backend server. */
export const requestStarted = defineEvent({
    number: 2010,
    name: "agent.request.started",
    level: "debug",
    summary: "A request was admitted and sent to the backend server.",
});

/** A request was refused. */
export const requestRefused = defineEvent({
    number: 2011,
    name: "agent.request.refused",
    level: "debug",
    summary: "A request was refused before it started; it has not run on this backend server and never will.",
});

/** A request was answered completely. */
export const requestFinished = defineEvent({
    number: 2012,
    name: "agent.request.finished",
    level: "debug",
    summary: "The backend server answered a request completely.",
});

/** A request failed with an unknown outcome. */
export const requestBroken = defineEvent({
    number: 2013,
    name: "agent.request.broken",
    level: "warning",
    summary: "A call failed after it was sent to the backend server; whether the request ran is unknown.",
});

/** The process was paused. */
export const agentPaused = defineEvent({
    number: 2004,
    name: "agent.process.paused",
    level: "warning",
    summary:
        "The process was paused: its leases are over; it refuses work until its configuration is confirmed.",
});

/** The listen address is in use. */
export const agentAddressTaken = defineEvent({
    number: 2005,
    name: "agent.process.address-taken",
    level: "warning",
    summary: "Another process listens on the agent's address; the agent retries until the address is free.",
});

/** Running calls were cancelled at the drain timeout. */
export const agentHandedOver = defineEvent({
    number: 2006,
    name: "agent.process.handed-over",
    level: "warning",
    summary:
        "The drain timeout is over; the remaining calls were cancelled and reported to entries as unknown.",
});

/** A request was recalled. */
export const requestRecalled = defineEvent({
    number: 2014,
    name: "agent.request.recalled",
    level: "info",
    summary:
        "A request was recalled before it arrived; it has not run on this backend server and never will.",
});

/** A stored answer was replayed. */
export const requestReplayed = defineEvent({
    number: 2015,
    name: "agent.request.replayed",
    level: "info",
    summary: "The stored answer of a non-repeatable request was sent again; the request did not run again.",
});

/** A ticket was refused. */
export const ticketRefused = defineEvent({
    number: 2016,
    name: "agent.ticket.refused",
    level: "info",
    summary: "A ticket is malformed, for another agent or request, or the limit of issuers is reached.",
});

/** The limit under the warmth lease was raised. */
export const warmthRose = defineEvent({
    number: 2020,
    name: "agent.warmth.rose",
    level: "info",
    summary: "Measurements at warm speed raised the number of calls that the backend server may run.",
});

/** The warmth lease was suspended. */
export const warmthSuspended = defineEvent({
    number: 2021,
    name: "agent.warmth.suspended",
    level: "info",
    summary:
        "A measurement was slower than a warm server; the cold limit applies until the next measurement.",
});

/** The warmth lease was revoked or has expired. */
export const warmthFell = defineEvent({
    number: 2022,
    name: "agent.warmth.fell",
    level: "warning",
    summary: "A sign of a cold server or a lack of recent evidence ended the lease; the cold limit applies.",
});

/** Calls of the previous incarnation still run. */
export const inheritedLoadSeen = defineEvent({
    number: 2023,
    name: "agent.inherited-load.seen",
    level: "info",
    summary: "A load report shows how many calls of the previous incarnation the backend server still runs.",
});

/** Calls of the previous incarnation have all ended. */
export const inheritedLoadSettled = defineEvent({
    number: 2024,
    name: "agent.inherited-load.settled",
    level: "info",
    summary: "A load report or the time bound shows that no call of the previous incarnation still runs.",
});

/** The backend server has restarted. */
export const backendRestarted = defineEvent({
    number: 2025,
    name: "agent.backend.restarted",
    level: "warning",
    summary: "The load report has a new process identifier; the backend server is treated as cold.",
});

/** A load report could not be read. */
export const loadUnreadable = defineEvent({
    number: 2026,
    name: "agent.load.unreadable",
    level: "warning",
    summary: "The backend server's load report could not be read; the agent continues without it.",
});
