/**
 * Reconstructs what an instance knew when it decided about a request, from the events it had logged.
 *
 * @packageDocumentation
 */

import type { TimelineEntry } from "@magnolialock/kernel";

/** Events that change what an instance knows, with the topic that each is about. */
const STATE_TOPICS: Readonly<Record<string, string>> = {
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

/** Whether a state event may apply to a decision: service and server are equal where both events name one. */
const mayConcern = (stateEvent: TimelineEntry, decision: TimelineEntry): boolean =>
    ["service", "server"].every(field => {
        const value = stateEvent.fields[field];
        return value === undefined || decision.fields[field] === undefined
            || value === decision.fields[field];
    });

/**
 * Finds what a decision was based on: for each topic, the latest event that the instance logged before it.
 *
 * @param decision - event that decided about a request
 * @param entries - all known events, in order
 * @returns the events with their age at the decision in milliseconds, latest first
 */
export const stateAtDecision = (
    decision: TimelineEntry,
    entries: readonly TimelineEntry[],
): { readonly entry: TimelineEntry; readonly ageMs: number; }[] => {
    const latest = new Map<string, TimelineEntry>();
    for (const entry of entries) {
        const topic = STATE_TOPICS[entry.name];
        const isEarlier = entry.time.wallMs <= decision.time.wallMs;
        if (
            topic !== undefined && isEarlier && entry.instance === decision.instance
            && mayConcern(entry, decision)
        ) {
            latest.set(topic, entry);
        }
    }
    return [...latest.values()]
        .map(entry => ({ entry, ageMs: decision.time.wallMs - entry.time.wallMs }))
        .sort((left, right) => left.ageMs - right.ageMs);
};
