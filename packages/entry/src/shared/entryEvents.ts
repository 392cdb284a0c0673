/**
 * Events of the entry, numbers 3000 to 3999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The entry serves. */
export const entryStarted = defineEvent({
    number: 3001,
    name: "entry.process.started",
    level: "info",
    summary: "The entry listens for callers.",
});

/** The entry begins to drain. */
export const entryDraining = defineEvent({
    number: 3002,
    name: "entry.process.draining",
    level: "info",
    summary: "The entry refuses new requests and finishes what runs.",
});

/** The entry has ended. */
export const entryStopped = defineEvent({
    number: 3003,
    name: "entry.process.stopped",
    level: "info",
    summary: "The entry has ended.",
});

/** A request was taken. */
export const requestReceived = defineEvent({
    number: 3010,
    name: "entry.request.received",
    level: "debug",
    summary: "A caller's request was taken.",
});

/** An attempt was sent to an agent. */
export const attemptSent = defineEvent({
    number: 3011,
    name: "entry.attempt.sent",
    level: "debug",
    summary: "An attempt of a request was sent to an agent.",
});

/** An attempt ended without an answer. */
export const attemptFailed = defineEvent({
    number: 3012,
    name: "entry.attempt.failed",
    level: "debug",
    summary: "An attempt ended without a whole answer.",
});

/** A request was answered. */
export const requestAnswered = defineEvent({
    number: 3013,
    name: "entry.request.answered",
    level: "debug",
    summary: "A caller got the whole answer to its request.",
});

/** A request failed. */
export const requestFailed = defineEvent({
    number: 3014,
    name: "entry.request.failed",
    level: "info",
    summary: "A caller got a failure that says whether its request ran.",
});

/** An agent stopped answering. */
export const agentLost = defineEvent({
    number: 3020,
    name: "entry.agent.lost",
    level: "warning",
    summary: "The state of an agent can no longer be read.",
});

/** An agent answers. */
export const agentFound = defineEvent({
    number: 3021,
    name: "entry.agent.found",
    level: "info",
    summary: "The state of an agent can be read.",
});

/** An event of an answer was dropped. */
export const answerDropped = defineEvent({
    number: 3030,
    name: "entry.answer.dropped",
    level: "warning",
    summary: "An agent sent a late, duplicated or crossed piece of an answer; it was dropped.",
});

/** A recall has learnt what became of a request. */
export const requestRecalled = defineEvent({
    number: 3031,
    name: "entry.request.recalled",
    level: "info",
    summary: "An attempt got no answer and its agent said what became of the request.",
});

/** The entry was paused. */
export const entryPaused = defineEvent({
    number: 3040,
    name: "entry.process.paused",
    level: "warning",
    summary: "The process did not run for a while; its views of the agents are expired.",
});
