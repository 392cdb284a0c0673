/**
 * Belief that the backend server is warm, held as a lease: renewed by measured evidence, expiring without it.
 *
 * @packageDocumentation
 */

import { type Clock, type EventLog, isFaultSeeded } from "@magnolialock/kernel";
import { Warmth } from "@magnolialock/protocol";
import { warmthFell, warmthRose, warmthSuspended } from "./agentEvents.ts";

/** Calls that the backend server bears at once. */
export interface ServerLimits {
    /** In cold start. */
    readonly coldLimit: number;
    /** When warm. */
    readonly warmLimit: number;
}

/** Why the belief is given up. */
export type ColdSign =
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
    /** Gives the proofs that a cold server is warm now; a completion at warm speed is one. */
    readonly proofsNeeded: () => number;
    /** Called after each change of the limit. */
    readonly onChange: () => void;
}

/** The belief lasts this long after the newest evidence, in milliseconds. */
const LEASE_MS = 10_000;
/** Shortest time between two steps of the ramp, in milliseconds. */
const STEP_DWELL_MS = 500;
/** Pieces of evidence that a step of the ramp needs. */
const STEP_EVIDENCE = 4;
const STEP_FACTOR = 2;
/** Pieces of a stream at warm speed that make one proof. */
const PIECES_PER_PROOF = 8;
/** Shortest time over which the proofs of a cold server must spread, in milliseconds. */
const PROOF_SPAN_MS = 1_000;
/** A step needs the present limit to be in use by this share. */
const STEP_USE = 0.5;

/** Decides how much of the warm limit may be used. */
export class WarmthLease {
    private readonly options: WarmthLeaseOptions;
    /** Calls that the evidence covers; 0 stands for the cold limit. */
    private provenLimit = 0;
    private proofCount = 0;
    private proofsSinceMs = 0;
    private stepEvidence = 0;
    private steppedMs = Number.NEGATIVE_INFINITY;
    private evidenceMs = Number.NEGATIVE_INFINITY;
    private signMs = Number.NEGATIVE_INFINITY;
    private suspectedMs: number | undefined;

    /** @param options - clock, events and limits */
    public constructor(options: WarmthLeaseOptions) {
        this.options = options;
    }

    /** Calls that the backend server bears in its proven state. */
    public get limit(): number {
        const { coldLimit, warmLimit } = this.options.limits();
        if (isFaultSeeded("agent.skip-cold-limit")) {
            return warmLimit;
        }
        this.expireWithoutEvidence();
        if (this.suspectedMs !== undefined) {
            return coldLimit;
        }
        return Math.max(coldLimit, Math.min(this.provenLimit, warmLimit));
    }

    /** Whether evidence covers more than the cold limit. */
    public get isProven(): boolean {
        return this.provenLimit > 0;
    }

    /** State to report. */
    public get warmth(): Warmth {
        const { limit, provenLimit } = this;
        if (provenLimit === 0 || this.suspectedMs !== undefined) {
            return Warmth.COLD;
        }
        return limit < this.options.limits().warmLimit ? Warmth.WARMING : Warmth.WARM;
    }

    /**
     * Notes a measurement at warm speed.
     *
     * @param sinceMs - when the measured interval began; evidence from before the last sign proves nothing
     * @param isCompletion - whether a whole call ended
     * @param running - calls that run
     */
    public noteWarm(sinceMs: number, isCompletion: boolean, running: number): void {
        if (sinceMs < this.signMs || (this.suspectedMs !== undefined && sinceMs < this.suspectedMs)) {
            return;
        }
        this.evidenceMs = this.options.clock.nowMs();
        if (this.suspectedMs !== undefined) {
            this.suspectedMs = undefined;
            this.options.onChange();
        }
        if (this.provenLimit === 0) {
            this.countProof(sinceMs, isCompletion);
            return;
        }
        this.countStepEvidence(sinceMs, running);
    }

    /**
     * Notes a measurement that is slower than a warm server, but not proof by itself: the lease is suspended until
     * the next measurement restores or ends it.
     *
     * @param sinceMs - when the measured interval began
     */
    public noteSlow(sinceMs: number): void {
        if (this.suspectedMs !== undefined && sinceMs >= this.suspectedMs) {
            this.fall("slow");
            return;
        }
        this.suspend();
    }

    /** Falls to the cold limit until the next measurement restores or ends the lease. */
    public suspend(): void {
        if (this.suspectedMs !== undefined) {
            return;
        }
        this.suspectedMs = this.options.clock.nowMs();
        this.proofCount = 0;
        if (this.provenLimit > 0) {
            this.options.events.emit(warmthSuspended, { provenLimit: this.provenLimit });
            this.options.onChange();
        }
    }

    /**
     * Gives the belief up at once.
     *
     * @param sign - why
     */
    public fall(sign: ColdSign): void {
        this.signMs = this.options.clock.nowMs();
        this.proofCount = 0;
        this.suspectedMs = undefined;
        if (this.provenLimit === 0) {
            return;
        }
        this.options.events.emit(warmthFell, { sign, provenLimit: this.provenLimit });
        this.provenLimit = 0;
        this.options.onChange();
    }

    private expireWithoutEvidence(): void {
        if (this.provenLimit > 0 && this.options.clock.nowMs() - this.evidenceMs > LEASE_MS) {
            this.fall("no evidence");
        }
    }

    private countProof(sinceMs: number, isCompletion: boolean): void {
        if (this.proofCount === 0) {
            this.proofsSinceMs = sinceMs;
        }
        this.proofCount += isCompletion ? 1 : 1 / PIECES_PER_PROOF;
        const spanMs = this.options.clock.nowMs() - this.proofsSinceMs;
        if (this.proofCount >= this.options.proofsNeeded() && spanMs >= PROOF_SPAN_MS) {
            this.raiseTo(this.options.limits().coldLimit * STEP_FACTOR);
        }
    }

    private countStepEvidence(sinceMs: number, running: number): void {
        const { limit } = this;
        if (sinceMs < this.steppedMs || limit >= this.options.limits().warmLimit) {
            return;
        }
        this.stepEvidence++;
        const hasDwelt = this.options.clock.nowMs() - this.steppedMs >= STEP_DWELL_MS;
        const isInUse = running >= limit * STEP_USE;
        if (hasDwelt && isInUse && this.stepEvidence >= STEP_EVIDENCE) {
            this.raiseTo(limit * STEP_FACTOR);
        }
    }

    private raiseTo(limit: number): void {
        this.provenLimit = Math.min(limit, this.options.limits().warmLimit);
        this.steppedMs = this.options.clock.nowMs();
        this.stepEvidence = 0;
        this.options.events.emit(warmthRose, { provenLimit: this.provenLimit });
        this.options.onChange();
    }
}
