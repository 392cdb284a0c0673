/**
 * Task that keeps the picture up to date from the platform, and knows how long the platform has been away.
 *
 * @packageDocumentation
 */

import { errorMessage, type Runtime, sleep, timeoutSignal } from "@magnolialock/kernel";
import type { PublishedSource } from "../types/fleetPicture.ts";
import { sourceFound, sourceLost, sourceReread } from "./directEvents.ts";
import type { PictureStore } from "./pictureStore.ts";

/** Options of a {@link SourceFollower}. */
export interface SourceFollowerOptions {
    /** Surroundings of the process. */
    readonly runtime: Pick<Runtime, "clock" | "random" | "events">;
    /** The platform. */
    readonly source: PublishedSource;
    /** What is known. */
    readonly store: PictureStore;
}

/**
 * Bounds of the wait of one watch. Each watch is a priced call; a connection that went silent goes unnoticed until its
 * end. Waits are drawn, so that of several instances with silent connections one notices early and tells the others.
 */
const LEAST_WAIT_MS = 1_500;
const MOST_WAIT_MS = 6_000;
/** Time after the end of a wait in which its answer must arrive; less takes slow answers for losses. */
const WATCH_SLACK_MS = 1_500;
/**
 * Pause after an answer with changes, in milliseconds. Changes come in bursts, and each of them would wake every
 * instance for a call; it counts against the time in which a configuration must be in force.
 */
const CHANGE_PAUSE_MS = 400;
/** Longest read of everything: a slow platform needs seconds for many pages. */
const READ_TIMEOUT_MS = 8_000;
/** Time between tries while the platform refuses; much less spends its read rate for nothing. */
const RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 1_000;
/** Failures shorter than this are no outage: entries of servers outlive a few lost heartbeats. */
const OUTAGE_MS = 1_000;

/** Follows the platform. */
export class SourceFollower implements Disposable {
    private readonly options: SourceFollowerOptions;
    private readonly stopping = new AbortController();
    private current = new AbortController();
    private isRead = false;
    private lostAtMs: number | undefined;
    private outageEndMs = Number.NEGATIVE_INFINITY;

    /** @param options - platform and store */
    public constructor(options: SourceFollowerOptions) {
        this.options = options;
    }

    /** Whether the last call to the platform failed. */
    public get isLost(): boolean {
        return this.lostAtMs !== undefined;
    }

    /** Time since the end of the last outage, in milliseconds; 0 during one, infinite when there was none. */
    public get sinceOutageMs(): number {
        const nowMs = this.options.runtime.clock.nowMs();
        if (this.lostAtMs !== undefined && nowMs - this.lostAtMs >= OUTAGE_MS) {
            return 0;
        }
        return nowMs - this.outageEndMs;
    }

    /** Asks anew at once: after a pause the call under way may have been answered long ago. */
    public renew(): void {
        this.current.abort();
    }

    /** Follows the platform until the follower is disposed. */
    public async run(): Promise<void> {
        const { runtime } = this.options;
        const { signal } = this.stopping;
        let delayMs = RETRY_DELAY_MS;
        while (!signal.aborted) {
            this.current = new AbortController();
            try {
                await this.step(AbortSignal.any([signal, this.current.signal]));
                this.noteAnswer();
                delayMs = RETRY_DELAY_MS;
            }
            catch (error) {
                if (signal.aborted || this.current.signal.aborted) {
                    continue;
                }
                this.noteFailure(errorMessage(error));
                await sleep(runtime.clock, delayMs * (0.5 + runtime.random.nextFloat()), signal).catch(
                    () => {},
                );
                delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
            }
        }
    }

    /** Ends the task. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
    }

    private async step(signal: AbortSignal): Promise<void> {
        const { runtime, source, store } = this.options;
        if (!this.isRead) {
            using timeout = timeoutSignal(runtime.clock, READ_TIMEOUT_MS, signal);
            store.replace(await source.readAll(timeout.signal), "platform");
            this.isRead = true;
            return;
        }
        const waitMs = runtime.random.nextInt(LEAST_WAIT_MS, MOST_WAIT_MS);
        using timeout = timeoutSignal(runtime.clock, waitMs + WATCH_SLACK_MS, signal);
        const result = await source.watch(store.revision, waitMs, timeout.signal);
        if (result.kind === "historyLost") {
            runtime.events.emit(sourceReread, { revision: store.revision });
            this.isRead = false;
            return;
        }
        store.apply(result.revision, result.changes, "platform");
        if (result.changes.length > 0) {
            await sleep(runtime.clock, CHANGE_PAUSE_MS, signal);
        }
    }

    private noteAnswer(): void {
        const { runtime, store } = this.options;
        if (this.lostAtMs === undefined) {
            return;
        }
        const awayMs = runtime.clock.nowMs() - this.lostAtMs;
        if (awayMs >= OUTAGE_MS) {
            this.outageEndMs = runtime.clock.nowMs();
        }
        this.lostAtMs = undefined;
        runtime.events.emit(sourceFound, { awayMs: Math.round(awayMs), revision: store.revision });
    }

    private noteFailure(error: string): void {
        const { runtime, store } = this.options;
        if (this.lostAtMs === undefined) {
            this.lostAtMs = runtime.clock.nowMs();
            runtime.events.emit(sourceLost, { error, revision: store.revision });
        }
    }
}
