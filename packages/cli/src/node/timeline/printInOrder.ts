/**
 * Prints events that arrive out of order in the order of the time line.
 *
 * @packageDocumentation
 */

import { type Clock, compareTimelineEntries, type TimelineEntry, type Timer } from "@magnolialock/kernel";

/** Events are held back so long for earlier ones of other processes, in milliseconds. */
const HOLD_BACK_MS = 500;

/** Holds events back for a moment and gives them on in order. */
export class OrderedPrinter implements Disposable {
    private held: TimelineEntry[] = [];
    private timer: Timer | undefined;

    /**
     * @param clock - source of time
     * @param print - gets the events in order
     */
    public constructor(
        private readonly clock: Clock,
        private readonly print: (entry: TimelineEntry) => void,
    ) {}

    /**
     * Takes an event.
     *
     * @param entry - the event
     */
    public add(entry: TimelineEntry): void {
        this.held.push(entry);
        this.timer ??= this.clock.setTimer(HOLD_BACK_MS, () => this.flush());
    }

    /** Prints what is held back. */
    public flush(): void {
        this.timer?.cancel();
        this.timer = undefined;
        const entries = this.held.sort(compareTimelineEntries);
        this.held = [];
        for (const entry of entries) {
            this.print(entry);
        }
    }

    /** Prints the rest. */
    public [Symbol.dispose](): void {
        this.flush();
    }
}
