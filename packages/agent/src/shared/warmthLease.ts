/**
 * Lease under which the backend server counts as warm: measurements at warm speed renew it, else it expires.
 *
 * @packageDocumentation
 */

import { type Clock, type EventLog, isFaultSeeded } from "@magnolialock/kernel";
import { Warmth } from "@magnolialock/protocol";
import { warmthFell, warmthRose, warmthSuspended } from "./agentEvents.ts";

/** Numbers of concurrent calls that the backend server sustains. */
export interface ServerLimits {
    /** Number during a cold start. */
    readonly coldLimit: number;
    /** Number when warm. */
    readonly warmLimit: number;
}

/** Reason for the end of the lease. */
export type RevocationReason =
    | "slow"
    | "verySlow"
    | "silent"
    | "broken connection"
    | "new process"
    | "pause"
    | "no evidence";

/** Options of a {@link WarmthLease}. */
export interface WarmthLeaseOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Gives the limits in force. */
    readonly limits: () => ServerLimits;
    /** Gives the number of proofs that a cold server is warm now; a completion at warm speed is one proof. */
    readonly requiredProofs: () => number;
    /** Called after each change of the limit. */
    readonly onChange: () => void;
}

/** Duration of the lease after the latest measurement at warm speed, in milliseconds. */
const LEASE_MS = 10_000;
/** Shortest time between two steps of the ramp-up, in milliseconds. */
const MIN_STEP_INTERVAL_MS = 500;
/** Number of measurements at warm speed that a step of the ramp-up requires. */
const MIN_STEP_SAMPLES = 4;
const STEP_FACTOR = 2;
/** Number of measurements at warm speed within a token stream that count as one proof. */
const SAMPLES_PER_PROOF = 8;
/** Shortest time span over which the proofs for a cold server must be spread, in milliseconds. */
const MIN_PROOF_SPAN_MS = 1_000;
/** Share of the present limit that must be in use for a step of the ramp-up. */
const MIN_STEP_UTILISATION = 0.5;

/**
 * Decides how much of the warm limit may be used. Enough proofs raise the limit to twice the cold limit;
 * after that it doubles in steps up to the warm limit. A slow measurement suspends the lease, and a sign of a
 * cold server or an expiry ends it; in both cases the cold limit applies.
 */
export class WarmthLease {
    private readonly options: WarmthLeaseOptions;
    /** Number of concurrent calls that the evidence covers; 0 means that the cold limit applies. */
    private provenLimit = 0;
    private proofCount = 0;
    private firstProofMs = 0;
    private stepSampleCount = 0;
    private lastStepMs = Number.NEGATIVE_INFINITY;
    private lastEvidenceMs = Number.NEGATIVE_INFINITY;
    private lastRevocationMs = Number.NEGATIVE_INFINITY;
    private suspendedAtMs: number | undefined;

    /** @param options - clock, events and limits */
    public constructor(options: WarmthLeaseOptions) {
        this.options = options;
    }

    /** Number of calls that may run concurrently: the cold limit while not proven or suspended. */
    public get limit(): number {
        if (isFaultSeeded("agent.skip-cold-limit")) {
            return this.options.limits().warmLimit;
        }
        const { coveredLimit } = this;
        return this.suspendedAtMs === undefined ? coveredLimit : this.options.limits().coldLimit;
    }

    /** Limit of the lease without regard to a suspension; for estimates only. */
    public get coveredLimit(): number {
        this.revokeIfExpired();
        const { coldLimit, warmLimit } = this.options.limits();
        return Math.max(coldLimit, Math.min(this.provenLimit, warmLimit));
    }

    /** Whether evidence covers more than the cold limit; a suspension does not change this. */
    public get isProven(): boolean {
        return this.provenLimit > 0;
    }

    /** State to report to entries and operators. */
    public get warmth(): Warmth {
        const { limit, provenLimit } = this;
        if (provenLimit === 0 || this.suspendedAtMs !== undefined) {
            return Warmth.COLD;
        }
        return limit < this.options.limits().warmLimit ? Warmth.WARMING : Warmth.WARM;
    }

    /**
     * Records a measurement at warm speed.
     *
     * @param sinceMs - start of the measured interval; a measurement that began before the last revocation or
     * the suspension proves nothing and is ignored
     * @param isCompletion - whether the measurement is a completed call
     * @param running - number of running calls
     */
    public recordWarm(sinceMs: number, isCompletion: boolean, running: number): void {
        this.revokeIfExpired();
        if (
            sinceMs < this.lastRevocationMs
            || (this.suspendedAtMs !== undefined && sinceMs < this.suspendedAtMs)
        ) {
            return;
        }
        this.lastEvidenceMs = this.options.clock.nowMs();
        if (this.suspendedAtMs !== undefined) {
            this.suspendedAtMs = undefined;
            this.options.onChange();
        }
        if (this.provenLimit === 0) {
            this.countProof(sinceMs, isCompletion);
            return;
        }
        this.countStepSample(sinceMs, running);
    }

    /**
     * Records a measurement that is slower than a warm server but does not prove by itself that the server is
     * cold. The lease is suspended until the next measurement restores or ends it; a second slow measurement
     * that began after the suspension ends it.
     *
     * @param sinceMs - start of the measured interval
     */
    public recordSlow(sinceMs: number): void {
        if (this.suspendedAtMs !== undefined && sinceMs >= this.suspendedAtMs) {
            this.revoke("slow");
            return;
        }
        this.suspend();
    }

    /** Suspends the lease: the cold limit applies until the next measurement restores or ends the lease. */
    public suspend(): void {
        if (this.suspendedAtMs !== undefined) {
            return;
        }
        this.suspendedAtMs = this.options.clock.nowMs();
        this.proofCount = 0;
        if (this.provenLimit > 0) {
            this.options.events.emit(warmthSuspended, { provenLimit: this.provenLimit });
            this.options.onChange();
        }
    }

    /**
     * Ends the lease at once: the cold limit applies until the server is proven warm again. Measurements that
     * began before are ignored, even if the lease was not held.
     *
     * @param reason - reason for the end
     */
    public revoke(reason: RevocationReason): void {
        this.lastRevocationMs = this.options.clock.nowMs();
        this.proofCount = 0;
        this.suspendedAtMs = undefined;
        if (this.provenLimit === 0) {
            return;
        }
        this.options.events.emit(warmthFell, { sign: reason, provenLimit: this.provenLimit });
        this.provenLimit = 0;
        this.options.onChange();
    }

    private revokeIfExpired(): void {
        if (this.provenLimit > 0 && this.options.clock.nowMs() - this.lastEvidenceMs > LEASE_MS) {
            this.revoke("no evidence");
        }
    }

    private countProof(sinceMs: number, isCompletion: boolean): void {
        if (this.proofCount === 0) {
            this.firstProofMs = sinceMs;
        }
        this.proofCount += isCompletion ? 1 : 1 / SAMPLES_PER_PROOF;
        const spanMs = this.options.clock.nowMs() - this.firstProofMs;
        if (this.proofCount >= this.options.requiredProofs() && spanMs >= MIN_PROOF_SPAN_MS) {
            this.raiseTo(this.options.limits().coldLimit * STEP_FACTOR);
        }
    }

    private countStepSample(sinceMs: number, running: number): void {
        const { limit } = this;
        if (sinceMs < this.lastStepMs || limit >= this.options.limits().warmLimit) {
            return;
        }
        this.stepSampleCount++;
        const isIntervalOver = this.options.clock.nowMs() - this.lastStepMs >= MIN_STEP_INTERVAL_MS;
        const isInUse = running >= limit * MIN_STEP_UTILISATION;
        if (isIntervalOver && isInUse && this.stepSampleCount >= MIN_STEP_SAMPLES) {
            this.raiseTo(limit * STEP_FACTOR);
        }
    }

    private raiseTo(limit: number): void {
        this.provenLimit = Math.min(limit, this.options.limits().warmLimit);
        this.lastStepMs = this.options.clock.nowMs();
        this.stepSampleCount = 0;
        this.options.events.emit(warmthRose, { provenLimit: this.provenLimit });
        this.options.onChange();
    }
}
