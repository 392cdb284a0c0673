/**
 * What an entry's own traffic says about an agent: failures in a row, and attempts that got no answer at all.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { DataCentreTraffic } from "./dataCentreTraffic.ts";

/** One attempt that runs. */
export interface TrackedAttempt {
    /** Something came back. */
    noteEvent(): void;
    /**
     * It is over.
     *
     * @param result - whether it failed on the way
     */
    end(result: "ended" | "failed"): void;
}

const FAILURES_TO_EJECT = 3;
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/** Silence after an attempt was sent that makes the agent suspect, in milliseconds. */
const SUSPICION_MS = 150;

/** Counts failures and silent attempts of one agent. */
export class PeerHealth {
    private readonly clock: Clock;
    private readonly traffic: DataCentreTraffic | undefined;
    private readonly silentSinceMs = new Map<TrackedAttempt, number>();
    private unansweredSentMs: number | undefined;
    private failures = 0;
    private ejections = 0;
    private ejectedUntil = Number.NEGATIVE_INFINITY;
    private heardMs = Number.NEGATIVE_INFINITY;
    private runningCount = 0;

    /**
     * @param clock - source of time
     * @param traffic - traffic to the agent's data centre if it is another one
     */
    public constructor(clock: Clock, traffic?: DataCentreTraffic) {
        this.clock = clock;
        this.traffic = traffic;
    }

    /** Attempts that run. */
    public get running(): number {
        return this.runningCount;
    }

    /** End of the ejection, in milliseconds; in the past when the agent is not ejected. */
    public get ejectedUntilMs(): number {
        return this.ejectedUntil;
    }

    /** Whether failures in a row keep the agent out. */
    public get isEjected(): boolean {
        return this.clock.nowMs() < this.ejectedUntil;
    }

    /** Whether an attempt has waited long and nothing at all came from the agent since. */
    public get isSuspect(): boolean {
        const [oldestMs] = this.silentSinceMs.values();
        const sentMs = this.unansweredSentMs ?? oldestMs;
        const isOwnSilent = sentMs !== undefined && sentMs <= this.clock.nowMs() - SUSPICION_MS
            && this.heardMs < sentMs;
        return isOwnSilent || (this.traffic?.isSilent ?? false);
    }

    /** Notes that something came from the agent. */
    public noteHeard(): void {
        this.heardMs = this.clock.nowMs();
        this.unansweredSentMs = undefined;
        this.traffic?.noteHeard();
    }

    /**
     * Begins an attempt.
     *
     * @returns its handle
     */
    public begin(): TrackedAttempt {
        this.runningCount++;
        this.traffic?.begin();
        const attempt: TrackedAttempt = {
            noteEvent: () => {
                this.silentSinceMs.delete(attempt);
                this.noteHeard();
            },
            end: result => {
                this.runningCount--;
                this.traffic?.end();
                // An attempt that was given up without a sign of life stays a reason for suspicion.
                this.unansweredSentMs ??= this.silentSinceMs.get(attempt);
                this.silentSinceMs.delete(attempt);
                this.noteResult(result);
            },
        };
        this.silentSinceMs.set(attempt, this.clock.nowMs());
        return attempt;
    }

    private noteResult(result: "ended" | "failed"): void {
        if (result === "ended") {
            this.failures = 0;
            this.ejections = Math.max(0, this.ejections - 1);
            return;
        }
        this.failures++;
        if (this.failures >= FAILURES_TO_EJECT) {
            const durationMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** this.ejections);
            this.ejectedUntil = this.clock.nowMs() + durationMs;
            this.ejections++;
            this.failures = 0;
        }
    }
}
