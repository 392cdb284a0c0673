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
