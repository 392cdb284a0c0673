/**
 * One backend server as this instance knows it: its entry, its load and what own traffic says about it.
 *
 * @packageDocumentation
 */

import { PeerHealth } from "@magnolialock/entry/src/shared/peerHealth.ts";
import type { Runtime } from "@magnolialock/kernel";
import type { ServerEntry } from "../types/fleetPicture.ts";
import { StartRateLimit } from "./startRateLimit.ts";

/** Weight of a new sample in the mean latency; a larger one follows single slow answers. */
const LATENCY_WEIGHT = 0.15;

/** State of one backend server. */
export class TrackedServer {
    /** What the server published last. */
    public entry: ServerEntry;
    /** End of the time for which a vanished entry is still used, in milliseconds; undefined while it is published. */
    public expiresMs: number | undefined;
    /** Whether another server answered at its address; it gets nothing until it publishes itself anew. */
    public isAddressReused = false;
    /** Requests of other instances that run there, by their newest reports. */
    public peerRunning = 0;
    /** Failures of own requests. */
    public readonly health: PeerHealth;
    /** Requests that this instance sent within the last second. */
    public readonly startRate: StartRateLimit;
    private readonly onClose = new Set<() => void>();
    private meanLatencyMs: number | undefined;

    /**
     * @param runtime - source of time
     * @param entry - what the server published
     */
    public constructor(runtime: Pick<Runtime, "clock">, entry: ServerEntry) {
        this.entry = entry;
        this.health = new PeerHealth(runtime.clock);
        this.startRate = new StartRateLimit(runtime.clock);
    }

    /** Requests of all instances that probably run there. */
    public get running(): number {
        return this.health.running + this.peerRunning;
    }

    /** Mean time to the first byte of an answer, in milliseconds; undefined before the first. */
    public get latencyMs(): number | undefined {
        return this.meanLatencyMs;
    }

    /**
     * Counts the time to the first byte of an answer.
     *
     * @param latencyMs - a sample, in milliseconds
     */
    public recordLatency(latencyMs: number): void {
        const meanMs = this.meanLatencyMs ?? latencyMs;
        this.meanLatencyMs = meanMs + LATENCY_WEIGHT * (latencyMs - meanMs);
    }

    /**
     * Registers clean-up for when the server is gone.
     *
     * @param cleanup - what to run
     */
    public whenClosed(cleanup: () => void): void {
        this.onClose.add(cleanup);
    }

    /** Runs the clean-up; requests under way go on. */
    public close(): void {
        this.onClose.forEach(cleanup => cleanup());
        this.onClose.clear();
    }
}
