/**
 * Events of expert maps, numbers 4000–4999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** A rank is armed. */
export const mapArmed = defineEvent({
    number: 4001,
    name: "maps.rank.armed",
    level: "info",
    summary: "The engine of a rank holds a new map and will not start its first step before the decision.",
});

/** A member knows a decision. */
export const mapCommitted = defineEvent({
    number: 4002,
    name: "maps.switch.committed",
    level: "info",
    summary: "All ranks were armed; the map is in force from the given step on.",
});

/** A member forgot an armed map. */
export const mapAborted = defineEvent({
    number: 4003,
    name: "maps.switch.aborted",
    level: "info",
    summary: "A prepared change of map will not happen; the rank goes on with the map in force.",
});

/** An engine got its map after a restart. */
export const mapInstalled = defineEvent({
    number: 4004,
    name: "maps.rank.installed",
    level: "info",
    summary: "The engine of a rank joined its group again with the map of the group's step.",
});

/** An engine restarted. */
export const engineRestarted = defineEvent({
    number: 4005,
    name: "maps.engine.restarted",
    level: "warning",
    summary: "The engine of a rank has restarted; it runs no step before it has the group's map.",
});

/** A round failed. */
export const roundFailed = defineEvent({
    number: 4006,
    name: "maps.round.failed",
    level: "info",
    summary: "A member could not get all ranks to agree; it will try again.",
});

/** A policy chose a new map. */
export const mapProposed = defineEvent({
    number: 4007,
    name: "maps.switch.proposed",
    level: "info",
    summary: "The policy proposes a map; the reason gives gain and cost.",
});

/** A rank is slow. */
export const rankSlow = defineEvent({
    number: 4008,
    name: "maps.rank.slow",
    level: "warning",
    summary: "A rank needs more time for its load than the others; it gets less load, or should be drained.",
});

/** A slow rank is well again. */
export const rankRecovered = defineEvent({
    number: 4009,
    name: "maps.rank.recovered",
    level: "info",
    summary: "A rank needs no more time for its load than the others.",
});
