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
