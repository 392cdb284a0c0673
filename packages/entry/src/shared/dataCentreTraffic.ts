/**
 * Traffic of an entry to another data centre: a cut link shows in all of it at once, before reports expire.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/** Silence of a whole data centre, while attempts run there, that makes it suspect, in milliseconds. */
const SUSPICION_MS = 150;

/** Attempts to the agents of one data centre, and when anything came from there last. */
export class DataCentreTraffic {
    private running = 0;
    private heardMs = Number.NEGATIVE_INFINITY;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /** Whether attempts run there and nothing came back for some time. */
    public get isSilent(): boolean {
        return this.running > 0 && this.clock.nowMs() - this.heardMs > SUSPICION_MS;
    }

    /** Notes that an attempt was sent. */
    public begin(): void {
        if (this.running === 0) {
            this.noteHeard();
        }
        this.running++;
    }

    /** Notes that an attempt is over. */
    public end(): void {
        this.running--;
    }

    /** Notes that something came from there. */
    public noteHeard(): void {
        this.heardMs = this.clock.nowMs();
    }
}
