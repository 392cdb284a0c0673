/**
 * What a refusal went by, for the log: which configuration was in force, and why this instance may not have heard of a newer
 * one.
 *
 * @packageDocumentation
 */

import type { InstanceId } from "@magnolialock/kernel";
import type { PublishedStateStore } from "./publishedStateStore.ts";

/** Another instance as it was last heard. */
export interface HeardPeer {
    /** Its name. */
    readonly instance: InstanceId;
    /** Version of the configuration in force there when it reported. */
    readonly configurationVersion: number;
    /** Time since its latest report, in milliseconds. */
    readonly heardMs: number;
}

/** What an instance has heard, and whether it had time to listen. */
export interface HeardSources {
    /** Time since the latest answer of the platform's store, in milliseconds; infinite before the first. */
    readonly storeHeardMs: number;
    /** Other instances. */
    readonly peers: readonly HeardPeer[];
    /** Longest delay of the event loop in the last seconds, in milliseconds. */
    readonly loopDelayMs: number;
}

/** Other instances in one log line, so that its length does not grow with the fleet. */
const MAX_PEERS_LOGGED = 16;

/**
 * Describes the configuration in force and the sources that could have told of a newer one.
 *
 * @param store - published state of this instance
 * @param sources - what it has heard
 * @returns fields of a log line; `peers` lists `name:version:time since its report`, those with the newest version first
 */
export const describeConfigurationEvidence = (
    store: PublishedStateStore,
    { loopDelayMs, peers, storeHeardMs }: HeardSources,
): Record<string, string | number | undefined> => {
    const listed = [...peers].sort((left, right) =>
        right.configurationVersion - left.configurationVersion || left.heardMs - right.heardMs
    );
    return {
        version: store.configuration?.configuration.version,
        versionAgeMs: toLoggedMs(store.configurationAgeMs),
        era: store.era,
        revision: store.revision,
        revisionAgeMs: toLoggedMs(store.revisionAgeMs),
        storeHeardMs: toLoggedMs(storeHeardMs),
        loopDelayMs: toLoggedMs(loopDelayMs),
        peerCount: peers.length,
        peers: listed.slice(0, MAX_PEERS_LOGGED).map(({ configurationVersion, heardMs, instance }) =>
            `${instance}:${configurationVersion}:${Math.round(heardMs)}`
        ).join(" "),
    };
};

/** Returns undefined for a time that has no meaning yet. */
const toLoggedMs = (ms: number): number | undefined => Number.isFinite(ms) ? Math.round(ms) : undefined;
