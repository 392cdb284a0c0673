/**
 * Measures one running call and reports the measurements as evidence of a warm server or signs of a cold one.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { LatencyLimit } from "./latencyLimit.ts";
import type { ServiceSpeed, SpeedClass } from "./serviceSpeed.ts";
import type { ServiceTimes } from "./serviceTimes.ts";
import type { WarmthLease } from "./warmthLease.ts";

/** Receivers of the measurements of running calls. */
export interface MeasurementSinks {
    /** Source of time. */
    readonly clock: Clock;
    /** Classifies measured times. */
    readonly speed: ServiceSpeed;
    /** Lease that the measurements renew, suspend or end. */
    readonly lease: WarmthLease;
    /** Limit that adapts to the measured times. */
    readonly latencyLimit: LatencyLimit;
    /** Durations of finished calls. */
    readonly serviceTimes: ServiceTimes;
}

/** Set of running calls that a call meter belongs to. */
export interface CallMeterOwner {
    /** Receivers of the measurements. */
    readonly sinks: MeasurementSinks;
    /** Number of running calls. */
    readonly running: number;
    /** Removes a call that has ended. */
    remove(meter: CallMeter): void;
    /** Records the time to a first token or to a complete plain answer, in milliseconds. */
    recordLatency(latencyMs: number): void;
}

/** Attributes of a call that are known at its start. */
export interface MeteredCall {
    /** Priority class. */
    readonly priority: number;
    /** Whether the service is a model service, which streams tokens. */
    readonly isModel: boolean;
}

/** Multiple of the warm time per token above which the time to the first token is a sign of a cold server. */
const FIRST_TOKEN_FACTOR = 20;
/**
 * Shortest interval that is measured, in milliseconds. Tokens that arrive together give no measurement; they
 * count in the next interval.
 */
const MIN_INTERVAL_MS = 4;
const CHUNK_SMOOTHING = 0.1;

/** Measures one running call. */
export class CallMeter {
    private readonly startedMs: number;
    private intervalStartMs: number;
    private intervalTokens = 0;
    /**
     * Smoothed number of tokens that arrive together, as an engine that computes several steps at once sends
     * tokens in chunks; 0 until the first token.
     */
    private tokensPerChunk = 0;
    private lastSample: { readonly speed: SpeedClass; readonly sinceMs: number; } | undefined;

    /**
     * @param calls - set of running calls that this one belongs to
     * @param call - attributes of this call
     */
    public constructor(private readonly calls: CallMeterOwner, private readonly call: MeteredCall) {
        this.startedMs = calls.sinks.clock.nowMs();
        this.intervalStartMs = this.startedMs;
    }

    /**
     * Classifies the time without output so far by the time that a warm server needs. Before the first token
     * of a model service the class is "verySlow" or "warm", never "slow".
     *
     * @returns the class; "verySlow" if the time is a sign of a cold server by itself
     */
    public classifyStall(): SpeedClass {
        const { speed, clock } = this.calls.sinks;
        const stalledMs = clock.nowMs() - this.intervalStartMs;
        const isBeforeFirstToken = this.call.isModel && this.tokensPerChunk === 0;
        if (isBeforeFirstToken) {
            return stalledMs > speed.warmTimeMs * FIRST_TOKEN_FACTOR ? "verySlow" : "warm";
        }
        return speed.classify(stalledMs / Math.max(1, this.tokensPerChunk));
    }

    /**
     * Records the arrival of tokens.
     *
     * @param count - number of tokens that arrived together
     */
    public recordTokens(count: number): void {
        const nowMs = this.calls.sinks.clock.nowMs();
        if (this.tokensPerChunk === 0) {
            this.tokensPerChunk = count;
            this.recordFirstToken(nowMs - this.startedMs);
            this.intervalStartMs = nowMs;
            return;
        }
        this.tokensPerChunk += CHUNK_SMOOTHING * (count - this.tokensPerChunk);
        this.intervalTokens += count;
        const intervalMs = nowMs - this.intervalStartMs;
        if (intervalMs < MIN_INTERVAL_MS) {
            return;
        }
        // The last chunk of an answer may be smaller than the others but takes as long to compute.
        this.recordSample(
            intervalMs / Math.max(this.intervalTokens, this.tokensPerChunk),
            this.intervalStartMs,
        );
        this.intervalStartMs = nowMs;
        this.intervalTokens = 0;
    }

    /**
     * Records the end of the call.
     *
     * @param isSuccessful - whether the answer is complete and not a server error
     */
    public finish(isSuccessful: boolean): void {
        const { sinks } = this.calls;
        this.calls.remove(this);
        if (!isSuccessful) {
            return;
        }
        const durationMs = sinks.clock.nowMs() - this.startedMs;
        sinks.serviceTimes.record(this.call.priority, durationMs);
        if (!this.call.isModel) {
            this.calls.recordLatency(durationMs);
            this.recordSample(durationMs, this.startedMs);
        }
        if (this.lastSample?.speed === "warm") {
            sinks.lease.recordWarm(this.lastSample.sinceMs, true, this.calls.running + 1);
        }
    }

    private recordFirstToken(firstTokenMs: number): void {
        const { speed, lease } = this.calls.sinks;
        this.calls.recordLatency(firstTokenMs);
        if (firstTokenMs > speed.warmTimeMs * FIRST_TOKEN_FACTOR) {
            lease.revoke("verySlow");
            return;
        }
        if (firstTokenMs <= speed.warmTimeMs) {
            this.lastSample = { speed: "warm", sinceMs: this.startedMs };
        }
    }

    private recordSample(timeMs: number, sinceMs: number): void {
        const { speed, lease, latencyLimit } = this.calls.sinks;
        const speedClass = speed.recordAndClassify(timeMs);
        this.lastSample = { speed: speedClass, sinceMs };
        // A cold server is slow at any load, so only the times of a warm server depend on the load.
        if (lease.isProven) {
            latencyLimit.record(timeMs, this.calls.running);
        }
        switch (speedClass) {
            case "warm":
                // A plain call is measured only at its end, where it is recorded as a completion.
                if (this.call.isModel) {
                    lease.recordWarm(sinceMs, false, this.calls.running);
                }
                break;
            case "slow":
                lease.recordSlow(sinceMs);
                break;
            case "verySlow":
                lease.revoke("verySlow");
                break;
        }
    }
}
