/**
 * Events of expert maps, numbers 4000–4999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** A rank was armed. */
export const mapArmed = defineEvent({
    number: 4001,
    name: "maps.rank.armed",
    level: "info",
    summary:
        "The engine of a rank is armed with a new map and will not start its first step before the decision.",
});

/** A member learned that a switch is decided. */
export const mapCommitted = defineEvent({
    number: 4002,
    name: "maps.switch.committed",
    level: "info",
    summary: "All ranks were armed; the map is in force from the given step on.",
});

/** A member discarded an armed map. */
export const mapAborted = defineEvent({
    number: 4003,
    name: "maps.switch.aborted",
    level: "info",
    summary: "A map switch was aborted; the rank continues with the map in force.",
});

/** A map was installed on an engine after its restart. */
export const mapInstalled = defineEvent({
    number: 4004,
    name: "maps.rank.installed",
    level: "info",
    summary: "The engine of a rank rejoined its group with the map of the group's current step.",
});

/** An engine restarted. */
export const engineRestarted = defineEvent({
    number: 4005,
    name: "maps.engine.restarted",
    level: "warning",
    summary: "The engine of a rank has restarted; it runs no step until the group's map is installed.",
});

/** A round failed. */
export const roundFailed = defineEvent({
    number: 4006,
    name: "maps.round.failed",
    level: "info",
    summary: "A round of this member failed because not all ranks accepted it; the member will retry.",
});

/** A new map was proposed. */
export const mapProposed = defineEvent({
    number: 4007,
    name: "maps.switch.proposed",
    level: "info",
    summary: "A map switch was proposed; the reason states gain and cost.",
});

/** A rank is slow. */
export const rankSlow = defineEvent({
    number: 4008,
    name: "maps.rank.slow",
    level: "warning",
    summary: "A rank needs more time for its load than the others; it gets less load, or should be drained.",
});

/** A slow rank has recovered. */
export const rankRecovered = defineEvent({
    number: 4009,
    name: "maps.rank.recovered",
    level: "info",
    summary: "A slow rank has recovered: it no longer needs more time for its load than the others.",
});
