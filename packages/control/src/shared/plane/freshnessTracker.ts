/**
 * Tracks evidence, from the platform and from peers, that the configuration in force is the newest.
 *
 * @packageDocumentation
 */

import type { Clock, InstanceId } from "@magnolialock/kernel";
import type { ConfigurationStore } from "../configurationStore.ts";
import type { Digest } from "./gossipMessages.ts";

/** Options of {@link FreshnessTracker}. */
export interface FreshnessTrackerOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Configuration in force. */
    readonly store: ConfigurationStore;
    /** Returns the number of known peers. */
    readonly peerCount: () => number;
}

/**
 * Number of peers whose answers together confirm a revision; fewer suffice if fewer are known, but at least
 * one.
 */
const CONFIRMING_PEERS = 2;
/** Maximum number of peers whose last answers are kept. */
const MAX_REMEMBERED_PEERS = 16;

/** Collects evidence and confirms the configuration in the store. */
export class FreshnessTracker {
    private readonly clock: Clock;
    private readonly store: ConfigurationStore;
    private readonly peerCount: () => number;
    private readonly answeredProbeSentAtMs = new Map<InstanceId, number>();
    private platformConfirmedAtMs: number | undefined;

    /** @param options - clock, store and number of peers */
    public constructor(options: FreshnessTrackerOptions) {
        this.clock = options.clock;
        this.store = options.store;
        this.peerCount = options.peerCount;
    }

    /** Time since the platform last confirmed the revision, to this process or a peer, in milliseconds. */
    public get platformAgeMs(): number | undefined {
        return this.platformConfirmedAtMs === undefined
            ? undefined
            : this.clock.nowMs() - this.platformConfirmedAtMs;
    }

    /**
     * Records that the platform had no newer revision.
     *
     * @param atMs - time at which it was asked, on the monotonic clock in milliseconds
     */
    public recordPlatformConfirmation(atMs: number): void {
        this.platformConfirmedAtMs = Math.max(this.platformConfirmedAtMs ?? atMs, atMs);
        this.store.confirm(atMs);
    }

    /**
     * Records a peer's answer to a probe. The time of the probe counts, not that of the answer. A peer that
     * knows a newer revision, or none at all, confirms nothing.
     *
     * @param peer - peer that answered
     * @param askedAtMs - time at which the probe was sent, on the monotonic clock in milliseconds
     * @param digest - the peer's configuration digest
     */
    public recordPeerAnswer(peer: InstanceId, askedAtMs: number, digest: Digest): void {
        const current = this.store.current?.revision ?? 0;
        if (digest.revision === 0 || digest.revision > current) {
            return;
        }
        if (digest.platformAgeMs !== undefined && digest.revision === current) {
            this.recordPlatformConfirmation(askedAtMs - digest.platformAgeMs);
        }
        this.answeredProbeSentAtMs.delete(peer);
        this.answeredProbeSentAtMs.set(peer, askedAtMs);
        this.evictOldestPeer();
        const requiredPeers = Math.max(1, Math.min(CONFIRMING_PEERS, this.peerCount()));
        const newestFirst = [...this.answeredProbeSentAtMs.values()].sort((left, right) => right - left);
        const confirmedMs = newestFirst[requiredPeers - 1];
        if (confirmedMs !== undefined) {
            this.store.confirm(confirmedMs);
        }
    }

    private evictOldestPeer(): void {
        const [oldest] = this.answeredProbeSentAtMs.keys();
        if (this.answeredProbeSentAtMs.size > MAX_REMEMBERED_PEERS && oldest !== undefined) {
            this.answeredProbeSentAtMs.delete(oldest);
        }
    }
}
