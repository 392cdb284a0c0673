/**
 * Event definitions of the control plane; numbers 1000 to 1999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** A revision came into force in this process. */
export const configurationAccepted = defineEvent({
    number: 1001,
    name: "control.configuration.accepted",
    level: "info",
    summary: "A configuration revision came into force in this process.",
});

/** A revision was rejected because of its findings. */
export const configurationRejected = defineEvent({
    number: 1002,
    name: "control.configuration.rejected",
    level: "error",
    summary: "A configuration revision was rejected for its findings; the last accepted one stays in force.",
});

/** The platform could not be read. */
export const platformUnreachable = defineEvent({
    number: 1003,
    name: "control.platform.unreachable",
    level: "warning",
    summary: "The platform's rules or instance list could not be read; the process continues without them.",
});

/** The platform offers an older revision. */
export const platformRewound = defineEvent({
    number: 1004,
    name: "control.platform.rewound",
    level: "warning",
    summary:
        "The platform offers other rules at a lower revision, which stay out of force: if it was restored from an older copy, raise the era in the rule file.",
});

/** A member of the own data centre changed its state. */
export const memberChanged = defineEvent({
    number: 1010,
    name: "control.member.changed",
    level: "info",
    summary: "A member of the own data centre is new, suspected, dead, leaving or alive again.",
});

/** The process refuted a report that it is no longer alive. */
export const suspicionRefuted = defineEvent({
    number: 1011,
    name: "control.suspicion.refuted",
    level: "info",
    summary: "The process learned that others no longer consider it alive, and announced a new incarnation.",
});

/** A datagram from another process was dropped. */
export const messageDropped = defineEvent({
    number: 1012,
    name: "control.message.dropped",
    level: "warning",
    summary:
        "A message on the control address was dropped: it was malformed, too large or failed authentication.",
});

/** A configuration could not be fetched from a peer. */
export const fetchFailed = defineEvent({
    number: 1013,
    name: "control.fetch.failed",
    level: "warning",
    summary: "The configuration could not be fetched from a peer; another peer is tried.",
});

/** The process finished joining the fleet. */
export const joined = defineEvent({
    number: 1014,
    name: "control.joined",
    level: "info",
    summary: "The process finished asking peers for the configuration in force and may now serve.",
});

/** The process noticed that it was paused. */
export const pauseNoticed = defineEvent({
    number: 1015,
    name: "control.pause.noticed",
    level: "warning",
    summary:
        "The process was paused; before it relies on its state again, it asks peers for newer revisions.",
});

/** The process runs without a shared key. */
export const planeDisabled = defineEvent({
    number: 1016,
    name: "control.plane.disabled",
    level: "warning",
    summary:
        "No --shared-key: the process watches the platform itself and accepts nothing from other processes.",
});
