/**
 * Measures one running call and turns the measurements into evidence of warmth or signs of a cold server.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { LatencyLimit } from "./latencyLimit.ts";
import type { ServiceSpeed, SpeedVerdict } from "./serviceSpeed.ts";
import type { ServiceTimes } from "./serviceTimes.ts";
import type { WarmthLease } from "./warmthLease.ts";

/** Where the measurements of running calls go. */
export interface MeasurementTakers {
    /** Source of time. */
    readonly clock: Clock;
    /** Judges measured times. */
    readonly speed: ServiceSpeed;
    /** Takes the evidence. */
    readonly lease: WarmthLease;
    /** Takes the times. */
    readonly latencyLimit: LatencyLimit;
    /** Takes the durations. */
    readonly serviceTimes: ServiceTimes;
}

/** The running calls that a measured one belongs to. */
export interface MeterOwner {
    /** Where the measurements go. */
    readonly takers: MeasurementTakers;
    /** Calls that run. */
    readonly running: number;
    /** Forgets a call that has ended. */
    remove(meter: CallMeter): void;
    /** Notes the time to a first token or a whole plain answer, in milliseconds. */
    noteLatency(latencyMs: number): void;
}

/** What is known of a call when it starts. */
export interface MeteredCall {
    /** Class of urgency. */
    readonly priority: number;
    /** Whether it streams tokens. */
    readonly isModel: boolean;
}

/** A first token that takes longer than this many warm times between tokens is a sign of a cold server. */
const FIRST_TOKEN_FACTOR = 20;
/** Tokens that arrive together measure nothing; they count with the next interval, in milliseconds. */
const MIN_INTERVAL_MS = 4;
const PIECE_SMOOTHING = 0.1;

/** Measures one running call. */
export class CallMeter {
    private readonly startedMs: number;
    private intervalStartMs: number;
    private intervalTokens = 0;
    /** Tokens that come together; 0 before the first. An engine that computes several steps at once sends batches. */
    private pieceTokens = 0;
    private lastVerdict: { readonly speed: SpeedVerdict; readonly sinceMs: number; } | undefined;

    /**
     * @param calls - all running calls
     * @param call - what is known of this one
     */
    public constructor(private readonly calls: MeterOwner, private readonly call: MeteredCall) {
        this.startedMs = calls.takers.clock.nowMs();
        this.intervalStartMs = this.startedMs;
    }

    /**
     * Compares the present silence of the call with what a warm server needs.
     *
     * @returns "verySlow" for a silence that is a sign by itself
     */
    public judgeSilence(): SpeedVerdict {
        const { speed, clock } = this.calls.takers;
        const silentMs = clock.nowMs() - this.intervalStartMs;
        const isBeforeFirstToken = this.call.isModel && this.pieceTokens === 0;
        if (isBeforeFirstToken) {
            return silentMs > speed.warmTimeMs * FIRST_TOKEN_FACTOR ? "verySlow" : "warm";
        }
        return speed.compare(silentMs / Math.max(1, this.pieceTokens));
    }

    /**
     * Notes tokens.
     *
     * @param count - how many came
     */
    public noteTokens(count: number): void {
        const nowMs = this.calls.takers.clock.nowMs();
        if (this.pieceTokens === 0) {
            this.pieceTokens = count;
            this.noteFirstToken(nowMs - this.startedMs);
            this.intervalStartMs = nowMs;
            return;
        }
        this.pieceTokens += PIECE_SMOOTHING * (count - this.pieceTokens);
        this.intervalTokens += count;
        const intervalMs = nowMs - this.intervalStartMs;
        if (intervalMs < MIN_INTERVAL_MS) {
            return;
        }
        // The last batch of an answer may be a small one, though it took as long as the others.
        this.judge(intervalMs / Math.max(this.intervalTokens, this.pieceTokens), this.intervalStartMs);
        this.intervalStartMs = nowMs;
        this.intervalTokens = 0;
    }

    /**
     * Notes the end of the call.
     *
     * @param isWhole - whether the answer is whole and no error of the server
     */
    public finish(isWhole: boolean): void {
        const { takers } = this.calls;
        this.calls.remove(this);
        if (!isWhole) {
            return;
        }
        const durationMs = takers.clock.nowMs() - this.startedMs;
        takers.serviceTimes.note(this.call.priority, durationMs);
        if (!this.call.isModel) {
            this.calls.noteLatency(durationMs);
            this.judge(durationMs, this.startedMs);
        }
        if (this.lastVerdict?.speed === "warm") {
            takers.lease.noteWarm(this.lastVerdict.sinceMs, true, this.calls.running + 1);
        }
    }

    private noteFirstToken(firstTokenMs: number): void {
        const { speed, lease } = this.calls.takers;
        this.calls.noteLatency(firstTokenMs);
        if (firstTokenMs > speed.warmTimeMs * FIRST_TOKEN_FACTOR) {
            lease.fall("verySlow");
            return;
        }
        if (firstTokenMs <= speed.warmTimeMs) {
            this.lastVerdict = { speed: "warm", sinceMs: this.startedMs };
        }
    }

    private judge(timeMs: number, sinceMs: number): void {
        const { speed, lease, latencyLimit } = this.calls.takers;
        const verdict = speed.judge(timeMs);
        this.lastVerdict = { speed: verdict, sinceMs };
        // A cold server is slow at any load: only the times of a warm one say something about the load.
        if (lease.isProven) {
            latencyLimit.note(timeMs, this.calls.running);
        }
        switch (verdict) {
            case "warm":
                // A plain call is judged at its end, where it counts as a completion.
                if (this.call.isModel) {
                    lease.noteWarm(sinceMs, false, this.calls.running);
                }
                break;
            case "slow":
                lease.noteSlow(sinceMs);
                break;
            case "verySlow":
                lease.fall("verySlow");
                break;
        }
    }
}
