/**
 * Measures running calls and turns the measurements into evidence of warmth or signs of a cold server.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { LatencyLimit } from "./latencyLimit.ts";
import type { ServiceSpeed, SpeedVerdict } from "./serviceSpeed.ts";
import type { ServiceTimes } from "./serviceTimes.ts";
import type { WarmthLease } from "./warmthLease.ts";

/** Options of {@link RunningCalls}. */
export interface RunningCallsOptions {
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
const LATENCY_SMOOTHING = 0.2;
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
    public constructor(private readonly calls: RunningCalls, private readonly call: MeteredCall) {
        this.startedMs = calls.options.clock.nowMs();
        this.intervalStartMs = this.startedMs;
    }

    /**
     * Compares the present silence of the call with what a warm server needs.
     *
     * @returns "verySlow" for a silence that is a sign by itself
     */
    public judgeSilence(): SpeedVerdict {
        const { speed, clock } = this.calls.options;
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
        const nowMs = this.calls.options.clock.nowMs();
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
        const { options } = this.calls;
        this.calls.remove(this);
        if (!isWhole) {
            return;
        }
        const durationMs = options.clock.nowMs() - this.startedMs;
        options.serviceTimes.note(this.call.priority, durationMs);
        if (!this.call.isModel) {
            this.calls.noteLatency(durationMs);
            this.judge(durationMs, this.startedMs);
        }
        if (this.lastVerdict?.speed === "warm") {
            options.lease.noteWarm(this.lastVerdict.sinceMs, true, this.calls.running + 1);
        }
    }

    private noteFirstToken(firstTokenMs: number): void {
        const { speed, lease } = this.calls.options;
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
        const { speed, lease, latencyLimit } = this.calls.options;
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

/** All running calls of the backend server. */
export class RunningCalls {
    /** Where the measurements go. */
    public readonly options: RunningCallsOptions;
    private readonly meters = new Set<CallMeter>();
    private smoothedLatencyMs: number | undefined;

    /** @param options - clock and takers of the measurements */
    public constructor(options: RunningCallsOptions) {
        this.options = options;
    }

    /** Calls that run. */
    public get running(): number {
        return this.meters.size;
    }

    /** Recent time to the first token or to the whole plain answer, in milliseconds; 0 before the first. */
    public get latencyMs(): number {
        return this.smoothedLatencyMs ?? 0;
    }

    /**
     * Notes the time to a first token or a whole plain answer.
     *
     * @param latencyMs - the time, in milliseconds
     */
    public noteLatency(latencyMs: number): void {
        this.smoothedLatencyMs ??= latencyMs;
        this.smoothedLatencyMs += LATENCY_SMOOTHING * (latencyMs - this.smoothedLatencyMs);
    }

    /**
     * Starts to measure a call.
     *
     * @param call - what is known of it
     * @returns its meter
     */
    public start(call: MeteredCall): CallMeter {
        const meter = new CallMeter(this, call);
        this.meters.add(meter);
        return meter;
    }

    /**
     * Forgets a call.
     *
     * @param meter - its meter
     */
    public remove(meter: CallMeter): void {
        this.meters.delete(meter);
    }

    /** Suspends or ends the lease of warmth when all running calls are silent for longer than a warm server would be. */
    public checkSilence(): void {
        const { lease } = this.options;
        if (this.meters.size === 0 || !lease.isProven) {
            return;
        }
        let isVerySlow = true;
        for (const meter of this.meters) {
            const verdict = meter.judgeSilence();
            if (verdict === "warm") {
                return;
            }
            isVerySlow &&= verdict === "verySlow";
        }
        if (isVerySlow) {
            lease.fall("silent");
            return;
        }
        lease.suspend();
    }
}
