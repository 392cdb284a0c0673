/**
 * Events of the agent, numbers 2000 to 2999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The agent serves. */
export const agentStarted = defineEvent({
    number: 2001,
    name: "agent.process.started",
    level: "info",
    summary: "The agent listens and knows its backend server.",
});

/** The agent begins to drain. */
export const agentDraining = defineEvent({
    number: 2002,
    name: "agent.process.draining",
    level: "info",
    summary: "The agent refuses new work and finishes what runs.",
});

/** The agent has ended. */
export const agentStopped = defineEvent({
    number: 2003,
    name: "agent.process.stopped",
    level: "info",
    summary: "The agent has ended.",
});

/** A request is handed to the backend server. */
export const requestStarted = defineEvent({
    number: 2010,
    name: "agent.request.started",
    level: "debug",
    summary: "A request left the queue and is handed to the backend server.",
});

/** A request was refused. */
export const requestRefused = defineEvent({
    number: 2011,
    name: "agent.request.refused",
    level: "debug",
    summary: "A request was refused before it started; it has not run here and never will.",
});

/** A request ended. */
export const requestFinished = defineEvent({
    number: 2012,
    name: "agent.request.finished",
    level: "debug",
    summary: "The backend server answered a request completely.",
});

/** A request broke. */
export const requestBroken = defineEvent({
    number: 2013,
    name: "agent.request.broken",
    level: "warning",
    summary: "The backend server's answer broke; whether the request ran is unknown.",
});

/** The process was paused. */
export const agentPaused = defineEvent({
    number: 2004,
    name: "agent.process.paused",
    level: "warning",
    summary:
        "The process did not run for a while; its leases are over and it refuses work until its configuration is confirmed.",
});

/** The address is taken. */
export const agentAddressTaken = defineEvent({
    number: 2005,
    name: "agent.process.address-taken",
    level: "warning",
    summary: "Another process listens on the agent's address; the agent waits until it is free.",
});

/** Calls were cut short by the end of a stop. */
export const agentHandedOver = defineEvent({
    number: 2006,
    name: "agent.process.handed-over",
    level: "warning",
    summary:
        "The longest time of a stop is over; what still ran was ended, and entries were told that its outcome is unknown.",
});

/** A request was recalled. */
export const requestRecalled = defineEvent({
    number: 2014,
    name: "agent.request.recalled",
    level: "info",
    summary: "A request was recalled before it started; it has not run here and never will.",
});

/** An answer was given again. */
export const requestReplayed = defineEvent({
    number: 2015,
    name: "agent.request.replayed",
    level: "info",
    summary:
        "The kept answer of a request that may not be repeated was given again; the request did not run again.",
});

/** A ticket was refused. */
export const ticketRefused = defineEvent({
    number: 2016,
    name: "agent.ticket.refused",
    level: "info",
    summary: "A ticket is malformed, for another agent or request, or from an issuer too many.",
});

/** The lease of warmth covers more. */
export const warmthRose = defineEvent({
    number: 2020,
    name: "agent.warmth.rose",
    level: "info",
    summary: "Fresh evidence lets the backend server carry more calls.",
});

/** The lease of warmth is suspended. */
export const warmthSuspended = defineEvent({
    number: 2021,
    name: "agent.warmth.suspended",
    level: "info",
    summary: "A measurement was slower than a warm server; the cold limit holds until the next one.",
});

/** The lease of warmth is over. */
export const warmthFell = defineEvent({
    number: 2022,
    name: "agent.warmth.fell",
    level: "warning",
    summary: "A sign of a cold server or the lack of evidence ended the lease; the cold limit holds.",
});

/** Calls of the last incarnation still run. */
export const inheritedLoadSeen = defineEvent({
    number: 2023,
    name: "agent.inherited-load.seen",
    level: "info",
    summary: "A load report tells how many calls of the last incarnation the backend server still carries.",
});

/** No calls of the last incarnation run any more. */
export const inheritedLoadSettled = defineEvent({
    number: 2024,
    name: "agent.inherited-load.settled",
    level: "info",
    summary:
        "A load report or the time bound tells that the backend server carries only this incarnation's calls.",
});

/** The backend server is a new process. */
export const backendRestarted = defineEvent({
    number: 2025,
    name: "agent.backend.restarted",
    level: "warning",
    summary: "The load report names another process than before; the backend server counts as cold.",
});

/** Load reports cannot be read. */
export const loadUnreadable = defineEvent({
    number: 2026,
    name: "agent.load.unreadable",
    level: "warning",
    summary: "The backend server's load report could not be read; the agent goes on without it.",
});
