/**
 * The calls that run in the backend server, and the measurements that concern all of them.
 *
 * @packageDocumentation
 */

import { CallMeter, type CallMeterOwner, type MeasurementSinks, type MeteredCall } from "./callMeter.ts";

const LATENCY_SMOOTHING = 0.2;

/** Set of the running calls. */
export class RunningCalls implements CallMeterOwner {
    /** {@inheritDoc CallMeterOwner.sinks} */
    public readonly sinks: MeasurementSinks;
    private readonly meters = new Set<CallMeter>();
    private smoothedLatencyMs: number | undefined;

    /** @param sinks - receivers of the measurements */
    public constructor(sinks: MeasurementSinks) {
        this.sinks = sinks;
    }

    /** Number of running calls. */
    public get running(): number {
        return this.meters.size;
    }

    /** Smoothed time to the first token or complete plain answer, in milliseconds; 0 until measured. */
    public get latencyMs(): number {
        return this.smoothedLatencyMs ?? 0;
    }

    /**
     * Records the time to a first token or to a complete plain answer.
     *
     * @param latencyMs - the time, in milliseconds
     */
    public recordLatency(latencyMs: number): void {
        this.smoothedLatencyMs ??= latencyMs;
        this.smoothedLatencyMs += LATENCY_SMOOTHING * (latencyMs - this.smoothedLatencyMs);
    }

    /**
     * Adds a call and starts to measure it.
     *
     * @param call - attributes of the call
     * @returns meter of the call
     */
    public start(call: MeteredCall): CallMeter {
        const meter = new CallMeter(this, call);
        this.meters.add(meter);
        return meter;
    }

    /**
     * Removes a call that has ended.
     *
     * @param meter - meter of the call
     */
    public remove(meter: CallMeter): void {
        this.meters.delete(meter);
    }

    /**
     * Suspends the warmth lease if every running call has been without output for longer than a warm server
     * needs, and ends it if each of these times is proof by itself that the server is cold.
     */
    public checkStall(): void {
        const { lease } = this.sinks;
        if (this.meters.size === 0 || !lease.isProven) {
            return;
        }
        let isVerySlow = true;
        for (const meter of this.meters) {
            const speedClass = meter.classifyStall();
            if (speedClass === "warm") {
                return;
            }
            isVerySlow &&= speedClass === "verySlow";
        }
        if (isVerySlow) {
            lease.revoke("silent");
            return;
        }
        lease.suspend();
    }
}
