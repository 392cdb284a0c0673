/**
 * Events of the entry, numbers 3000 to 3999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The entry has started. */
export const entryStarted = defineEvent({
    number: 3001,
    name: "entry.process.started",
    level: "info",
    summary: "The entry has started.",
});

/** The entry has started to drain. */
export const entryDraining = defineEvent({
    number: 3002,
    name: "entry.process.draining",
    level: "info",
    summary: "The entry is draining: it refuses new requests and waits for those in flight.",
});

/** The entry has stopped. */
export const entryStopped = defineEvent({
    number: 3003,
    name: "entry.process.stopped",
    level: "info",
    summary: "The entry has stopped.",
});

/** A request was received. */
export const requestReceived = defineEvent({
    number: 3010,
    name: "entry.request.received",
    level: "debug",
    summary: "A request was received from a caller.",
});

/** An attempt was sent to an agent. */
export const attemptSent = defineEvent({
    number: 3011,
    name: "entry.attempt.sent",
    level: "debug",
    summary: "An attempt at a request was sent to an agent.",
});

/** An attempt ended without a complete answer. */
export const attemptFailed = defineEvent({
    number: 3012,
    name: "entry.attempt.failed",
    level: "debug",
    summary: "An attempt ended without a complete answer.",
});

/** A request was answered completely. */
export const requestAnswered = defineEvent({
    number: 3013,
    name: "entry.request.answered",
    level: "debug",
    summary: "The complete answer was sent to the caller.",
});

/** A request failed; the caller was told whether it ran. */
export const requestFailed = defineEvent({
    number: 3014,
    name: "entry.request.failed",
    level: "info",
    summary: "A request failed; the failure sent to the caller states whether the request ran.",
});

/** The state stream of an agent broke. */
export const agentLost = defineEvent({
    number: 3020,
    name: "entry.agent.lost",
    level: "warning",
    summary: "The stream of state reports from an agent broke.",
});

/** The first state report after a connection to an agent, or after its restart, has arrived. */
export const agentFound = defineEvent({
    number: 3021,
    name: "entry.agent.found",
    level: "info",
    summary: "The first state report after connecting to an agent, or after its restart, arrived.",
});

/** An event of an answer was dropped. */
export const answerDropped = defineEvent({
    number: 3030,
    name: "entry.answer.dropped",
    level: "warning",
    summary: "A late or duplicate event of an answer, or one of another request or attempt, was dropped.",
});

/** A recall determined the outcome of a request. */
export const requestRecalled = defineEvent({
    number: 3031,
    name: "entry.request.recalled",
    level: "info",
    summary: "An attempt got no answer; the agent reported the outcome of the request in reply to a recall.",
});

/** Connections of callers were closed because of what they hold. */
export const entryCallersClosed = defineEvent({
    number: 3035,
    name: "entry.callers.closed",
    level: "warning",
    summary:
        "Connections of callers were closed because of the memory or descriptors that they hold, or as floods.",
});

/** The entry was paused. */
export const entryPaused = defineEvent({
    number: 3040,
    name: "entry.process.paused",
    level: "warning",
    summary: "The process was paused; the cached states of all agents were invalidated.",
});
