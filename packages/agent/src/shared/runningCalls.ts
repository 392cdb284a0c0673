/**
 * All running calls of the backend server and what they tell together.
 *
 * @packageDocumentation
 */

import { CallMeter, type MeasurementTakers, type MeteredCall, type MeterOwner } from "./callMeter.ts";

const LATENCY_SMOOTHING = 0.2;

/** All running calls of the backend server. */
export class RunningCalls implements MeterOwner {
    /** {@inheritDoc MeterOwner.takers} */
    public readonly takers: MeasurementTakers;
    private readonly meters = new Set<CallMeter>();
    private smoothedLatencyMs: number | undefined;

    /** @param takers - where the measurements go */
    public constructor(takers: MeasurementTakers) {
        this.takers = takers;
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
        const { lease } = this.takers;
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
