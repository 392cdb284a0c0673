/**
 * Events of the control plane, numbers 1000 to 1999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** A revision came into force in this process. */
export const configurationAccepted = defineEvent({
    number: 1001,
    name: "control.configuration.accepted",
    level: "info",
    summary: "A revision of the configuration came into force in this process.",
});

/** A revision was rejected. */
export const configurationRejected = defineEvent({
    number: 1002,
    name: "control.configuration.rejected",
    level: "error",
    summary: "A revision of the configuration has findings; the last accepted one stays in force.",
});

/** The platform could not be read. */
export const platformUnreachable = defineEvent({
    number: 1003,
    name: "control.platform.unreachable",
    level: "warning",
    summary:
        "The platform's configuration service or list could not be read; the process goes on without it.",
});

/** A process of the own data centre entered another state. */
export const memberChanged = defineEvent({
    number: 1010,
    name: "control.member.changed",
    level: "info",
    summary: "A process of the own data centre was heard of, suspected, removed or is leaving.",
});

/** The process answered a report that it is gone. */
export const suspicionRefuted = defineEvent({
    number: 1011,
    name: "control.suspicion.refuted",
    level: "info",
    summary: "The process heard that others believe it gone and announced a new incarnation.",
});

/** A message from another process was dropped. */
export const messageDropped = defineEvent({
    number: 1012,
    name: "control.message.dropped",
    level: "warning",
    summary: "A message on the control address was malformed, too large or not authentic, and was dropped.",
});

/** A content could not be fetched from a peer. */
export const fetchFailed = defineEvent({
    number: 1013,
    name: "control.fetch.failed",
    level: "warning",
    summary: "The configuration could not be fetched from a peer; another one is asked.",
});

/** The process has asked its peers for the configuration in force. */
export const joined = defineEvent({
    number: 1014,
    name: "control.joined",
    level: "info",
    summary: "The process asked several peers for the configuration in force and may serve now.",
});

/** The process noticed that it was paused. */
export const pauseNoticed = defineEvent({
    number: 1015,
    name: "control.pause.noticed",
    level: "warning",
    summary: "The process was paused; it asks its peers for news before it trusts its views again.",
});

/** Processes run without a shared key. */
export const planeDisabled = defineEvent({
    number: 1016,
    name: "control.plane.disabled",
    level: "warning",
    summary:
        "No --shared-key is set: the process watches the platform by itself and takes nothing from other processes.",
});
