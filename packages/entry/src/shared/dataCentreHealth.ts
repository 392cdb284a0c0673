/**
 * Health of another data centre, from all traffic to it: detects a cut link before the state reports expire.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/** Time without any message, with attempts in flight, that makes a data centre suspect, in milliseconds. */
const SUSPECT_AFTER_MS = 150;

/** Tracks the attempts in flight to one data centre and when a message last arrived from there. */
export class DataCentreHealth {
    private running = 0;
    private lastReceivedMs = Number.NEGATIVE_INFINITY;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /** Whether attempts are in flight and no message has arrived for the suspicion time. */
    public get isSuspect(): boolean {
        return this.running > 0 && this.clock.nowMs() - this.lastReceivedMs > SUSPECT_AFTER_MS;
    }

    /** Records that an attempt was sent. */
    public begin(): void {
        if (this.running === 0) {
            this.recordReceived();
        }
        this.running++;
    }

    /** Records that an attempt has ended. */
    public end(): void {
        this.running--;
    }

    /** Records that a message arrived from the data centre. */
    public recordReceived(): void {
        this.lastReceivedMs = this.clock.nowMs();
    }
}
