/**
 * State of one backend server as this instance knows it: its published entry, its load, and the health and
 * latency seen by this instance's own requests.
 *
 * @packageDocumentation
 */

import { PeerHealth } from "@magnolialock/entry/src/shared/peerHealth.ts";
import type { Runtime } from "@magnolialock/kernel";
import type { PublishedServer } from "../types/publishedState.ts";
import { processKey, reportKey } from "./peerReport.ts";
import { StartRateLimit } from "./startRateLimit.ts";

/**
 * Weight of a new sample in the moving average of the latency; a larger one follows single slow responses.
 */
const LATENCY_WEIGHT = 0.15;

/** State of one backend server. */
export class TrackedServer {
    /** Latest entry that the server published. */
    public entry: PublishedServer;
    /** Time until which a removed entry is still used, in milliseconds; undefined while it is published. */
    public expiresMs: number | undefined;
    /**
     * Whether another server answered at its address; it gets no requests until it is published with a new
     * identifier or address.
     */
    public isAddressReused = false;
    /** Requests that other instances run there, according to their latest reports. */
    public peerRunning = 0;
    /** Prompt tokens of this instance's requests there whose answers have not begun. */
    public unreadPromptTokens = 0;
    /** Group that the server belongs to; undefined while it is not known, or if there is none. */
    public groupName: string | undefined;
    /** Key of the server in the reports between instances. */
    public readonly reportKey: number;
    /** Key of its process; a server that starts again under its identifier is tracked anew. */
    public readonly processKey: number;
    /** Failures of this instance's own requests, and the number that it runs. */
    public readonly health: PeerHealth;
    /** Limits the requests that this instance starts there per second. */
    public readonly startRate: StartRateLimit;
    private meanLatencyMs: number | undefined;

    /**
     * @param runtime - source of time
     * @param entry - what the server published
     */
    public constructor(runtime: Pick<Runtime, "clock">, entry: PublishedServer) {
        this.entry = entry;
        this.reportKey = reportKey(entry.id);
        this.processKey = processKey(entry);
        this.health = new PeerHealth(runtime.clock);
        this.startRate = new StartRateLimit(runtime.clock);
    }

    /** Estimated number of requests that all instances run there. */
    public get running(): number {
        return this.health.running + this.peerRunning;
    }

    /** Moving average of the time to the first byte, in milliseconds; undefined before the first response. */
    public get latencyMs(): number | undefined {
        return this.meanLatencyMs;
    }

    /**
     * Records a time to the first byte of a response.
     *
     * @param latencyMs - a sample, in milliseconds
     */
    public recordLatency(latencyMs: number): void {
        const meanMs = this.meanLatencyMs ?? latencyMs;
        this.meanLatencyMs = meanMs + LATENCY_WEIGHT * (latencyMs - meanMs);
    }
}
