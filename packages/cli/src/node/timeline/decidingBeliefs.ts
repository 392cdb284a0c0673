/**
 * What an instance believed when it decided about a request, from the events that it logged before.
 *
 * @packageDocumentation
 */

import type { TimelineEntry } from "@magnolialock/kernel";

/** Events after which an instance believes something else, by the matter that they are about. */
const BELIEFS: Readonly<Record<string, string>> = {
    "direct.group.down": "group",
    "direct.group.up": "group",
    "direct.platform.lost": "platform",
    "direct.platform.found": "platform",
    "direct.configuration.applied": "configuration",
    "direct.server.ejected": "server",
    "direct.server.leaving": "server",
    "direct.server.added": "server",
    "direct.process.stopping": "process",
    "direct.process.started": "process",
};

const isAbout = (belief: TimelineEntry, decision: TimelineEntry): boolean =>
    ["service", "server"].every(field => {
        const matter = belief.fields[field];
        return matter === undefined || decision.fields[field] === undefined
            || matter === decision.fields[field];
    });

/**
 * Finds the beliefs behind a decision: of each matter the newest one that the same instance logged before.
 *
 * @param decision - the event that ended a request
 * @param entries - all events, in order
 * @returns the beliefs with their age in milliseconds, the newest first
 */
export const decidingBeliefs = (
    decision: TimelineEntry,
    entries: readonly TimelineEntry[],
): { readonly entry: TimelineEntry; readonly ageMs: number; }[] => {
    const newest = new Map<string, TimelineEntry>();
    for (const entry of entries) {
        const matter = BELIEFS[entry.name];
        const isBefore = entry.time.wallMs <= decision.time.wallMs;
        if (
            matter !== undefined && isBefore && entry.instance === decision.instance
            && isAbout(entry, decision)
        ) {
            newest.set(matter, entry);
        }
    }
    return [...newest.values()]
        .map(entry => ({ entry, ageMs: decision.time.wallMs - entry.time.wallMs }))
        .sort((left, right) => left.ageMs - right.ageMs);
};
