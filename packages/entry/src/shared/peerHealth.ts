/**
 * Passive health check of an agent, from its traffic: consecutive failures and unanswered attempts.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { DataCentreHealth } from "./dataCentreHealth.ts";

/** Handle of an attempt in flight. */
export interface TrackedAttempt {
    /** Records an event received for the attempt. */
    recordEvent(): void;
    /**
     * Records the end of the attempt.
     *
     * @param result - `failed` counts towards ejection, `ended` resets the count
     */
    end(result: "ended" | "failed"): void;
}

const FAILURES_TO_EJECT = 3;
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/** Time without any message after an attempt was sent that makes the agent suspect, in milliseconds. */
const SUSPECT_AFTER_MS = 150;

/** Tracks failures and unanswered attempts of one agent. */
export class PeerHealth {
    private readonly clock: Clock;
    private readonly dataCentreHealth: DataCentreHealth | undefined;
    private readonly unansweredSentMs = new Map<TrackedAttempt, number>();
    private abandonedSentMs: number | undefined;
    private consecutiveFailures = 0;
    private ejectionLevel = 0;
    private ejectedUntil = Number.NEGATIVE_INFINITY;
    private lastReceivedMs = Number.NEGATIVE_INFINITY;
    private runningCount = 0;

    /**
     * @param clock - source of time
     * @param dataCentreHealth - health of the agent's data centre; undefined for the local data centre
     */
    public constructor(clock: Clock, dataCentreHealth?: DataCentreHealth) {
        this.clock = clock;
        this.dataCentreHealth = dataCentreHealth;
    }

    /** Number of attempts in flight. */
    public get running(): number {
        return this.runningCount;
    }

    /** Time when the ejection ends, in milliseconds; in the past when the agent is not ejected. */
    public get ejectedUntilMs(): number {
        return this.ejectedUntil;
    }

    /** Whether the agent is ejected because of consecutive failures. */
    public get isEjected(): boolean {
        return this.clock.nowMs() < this.ejectedUntil;
    }

    /**
     * Whether an attempt has waited for the suspicion time and no message has arrived since it was sent, or
     * the data centre is suspect.
     */
    public get isSuspect(): boolean {
        const [oldestMs] = this.unansweredSentMs.values();
        const sentMs = this.abandonedSentMs ?? oldestMs;
        const isPeerSilent = sentMs !== undefined && sentMs <= this.clock.nowMs() - SUSPECT_AFTER_MS
            && this.lastReceivedMs < sentMs;
        return isPeerSilent || (this.dataCentreHealth?.isSuspect ?? false);
    }

    /** Records that a message arrived from the agent. */
    public recordReceived(): void {
        this.lastReceivedMs = this.clock.nowMs();
        this.abandonedSentMs = undefined;
        this.dataCentreHealth?.recordReceived();
    }

    /**
     * Begins tracking an attempt.
     *
     * @returns handle of the attempt
     */
    public begin(): TrackedAttempt {
        this.runningCount++;
        this.dataCentreHealth?.begin();
        const attempt: TrackedAttempt = {
            recordEvent: () => {
                this.unansweredSentMs.delete(attempt);
                this.recordReceived();
            },
            end: result => {
                this.runningCount--;
                this.dataCentreHealth?.end();
                // An attempt that ended without any event keeps the agent suspect until a message arrives.
                this.abandonedSentMs ??= this.unansweredSentMs.get(attempt);
                this.unansweredSentMs.delete(attempt);
                this.recordResult(result);
            },
        };
        this.unansweredSentMs.set(attempt, this.clock.nowMs());
        return attempt;
    }

    private recordResult(result: "ended" | "failed"): void {
        if (result === "ended") {
            this.consecutiveFailures = 0;
            this.ejectionLevel = Math.max(0, this.ejectionLevel - 1);
            return;
        }
        this.consecutiveFailures++;
        if (this.consecutiveFailures >= FAILURES_TO_EJECT) {
            const durationMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** this.ejectionLevel);
            this.ejectedUntil = this.clock.nowMs() + durationMs;
            this.ejectionLevel++;
            this.consecutiveFailures = 0;
        }
    }
}
