/**
 * Reorder buffer: restores the order of events that arrive out of order.
 *
 * @packageDocumentation
 */

import { type Clock, compareTimelineEntries, type TimelineEntry, type Timer } from "@magnolialock/kernel";

/** Time for which events are buffered to wait for earlier ones from other processes, in milliseconds. */
const REORDER_DELAY_MS = 500;

/** Buffers events for a short time and prints them in the order of the time line. */
export class ReorderBuffer implements Disposable {
    private buffered: TimelineEntry[] = [];
    private timer: Timer | undefined;

    /**
     * @param clock - source of time
     * @param print - receives the events in order
     */
    public constructor(
        private readonly clock: Clock,
        private readonly print: (entry: TimelineEntry) => void,
    ) {}

    /**
     * Adds an event.
     *
     * @param entry - event to print in order
     */
    public add(entry: TimelineEntry): void {
        this.buffered.push(entry);
        this.timer ??= this.clock.setTimer(REORDER_DELAY_MS, () => this.flush());
    }

    /** Prints all buffered events. */
    public flush(): void {
        this.timer?.cancel();
        this.timer = undefined;
        const entries = this.buffered.sort(compareTimelineEntries);
        this.buffered = [];
        for (const entry of entries) {
            this.print(entry);
        }
    }

    /** Prints the remaining events. */
    public [Symbol.dispose](): void {
        this.flush();
    }
}
