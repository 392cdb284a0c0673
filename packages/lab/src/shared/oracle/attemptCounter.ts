/**
 * Counts requests and attempts from the events that entries emit.
 *
 * @packageDocumentation
 */

import { attemptSent, requestReceived } from "@magnolialock/entry";
import type { EventRecord, EventSink } from "@magnolialock/kernel";

/** Event sink that counts received requests and sent attempts. */
export class AttemptCounter implements EventSink {
    /** {@inheritDoc @magnolialock/kernel#Plugin.name} */
    public readonly name = "attempt-counter";
    private requests = 0;
    private attempts = 0;

    /** {@inheritDoc @magnolialock/kernel#EventSink.write} */
    public write({ definition }: EventRecord): void {
        if (definition === attemptSent) {
            this.attempts++;
        }
        if (definition === requestReceived) {
            this.requests++;
        }
    }

    /** Mean number of attempts for each request; 1 when there were no requests. */
    public get amplification(): number {
        return this.requests === 0 ? 1 : this.attempts / this.requests;
    }
}
