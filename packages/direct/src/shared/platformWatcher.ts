/**
 * Task that keeps the picture up to date from the platform, and knows how long the platform has been away.
 *
 * @packageDocumentation
 */

import { errorMessage, type Runtime, sleep, timeoutSignal } from "@magnolialock/kernel";
import type { PublishedSource } from "../types/fleetPicture.ts";
import { platformFound, platformLost, platformReread } from "./directEvents.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";

/** Options of a {@link PlatformWatcher}. */
export interface PlatformWatcherOptions {
    /** Surroundings of the process. */
    readonly runtime: Pick<Runtime, "clock" | "random" | "events">;
    /** The platform. */
    readonly source: PublishedSource;
    /** What is known. */
    readonly store: PublishedStateStore;
}

/**
 * Bounds of the wait of one watch. Each watch is a priced call; a connection that went silent goes unnoticed until its
 * end. Waits are drawn, so that of several instances with silent connections one notices early and tells the others.
 */
const MIN_WATCH_MS = 1_500;
const MAX_WATCH_MS = 6_000;
/** Time after the end of a wait in which its answer must arrive; less takes slow answers for losses. */
const WATCH_RESPONSE_MARGIN_MS = 1_500;
/**
 * Pause after an answer with changes, in milliseconds. Changes come in bursts, and each of them would wake every
 * instance for a call; it counts against the time in which a configuration must be in force.
 */
const CHANGE_BATCH_DELAY_MS = 400;
/** Longest read of everything: a slow platform needs seconds for many pages. */
const READ_ALL_TIMEOUT_MS = 8_000;
/** Time between tries while the platform refuses; much less spends its read rate for nothing. */
const RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 1_000;
/** Failures shorter than this are no outage: entries of servers outlive a few lost heartbeats. */
const MIN_OUTAGE_MS = 1_000;

/** Follows the platform. */
export class PlatformWatcher implements Disposable {
    private readonly options: PlatformWatcherOptions;
    private readonly stopping = new AbortController();
    private currentCall = new AbortController();
    private hasFullState = false;
    private failingSinceMs: number | undefined;
    private lastOutageEndMs = Number.NEGATIVE_INFINITY;

    /** @param options - platform and store */
    public constructor(options: PlatformWatcherOptions) {
        this.options = options;
    }

    /** Whether the last call to the platform failed. */
    public get isFailing(): boolean {
        return this.failingSinceMs !== undefined;
    }

    /** Time since the end of the last outage, in milliseconds; 0 during one, infinite when there was none. */
    public get sinceOutageMs(): number {
        const nowMs = this.options.runtime.clock.nowMs();
        if (this.failingSinceMs !== undefined && nowMs - this.failingSinceMs >= MIN_OUTAGE_MS) {
            return 0;
        }
        return nowMs - this.lastOutageEndMs;
    }

    /** Asks anew at once: after a pause the call under way may have been answered long ago. */
    public restartCall(): void {
        this.currentCall.abort();
    }

    /** Follows the platform until the follower is disposed. */
    public async run(): Promise<void> {
        const { runtime } = this.options;
        const { signal } = this.stopping;
        let delayMs = RETRY_DELAY_MS;
        while (!signal.aborted) {
            this.currentCall = new AbortController();
            try {
                await this.syncOnce(AbortSignal.any([signal, this.currentCall.signal]));
                this.recordSuccess();
                delayMs = RETRY_DELAY_MS;
            }
            catch (error) {
                if (signal.aborted || this.currentCall.signal.aborted) {
                    continue;
                }
                this.recordFailure(errorMessage(error));
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

    private async syncOnce(signal: AbortSignal): Promise<void> {
        const { runtime, source, store } = this.options;
        if (!this.hasFullState) {
            using timeout = timeoutSignal(runtime.clock, READ_ALL_TIMEOUT_MS, signal);
            store.replace(await source.readAll(timeout.signal), "platform");
            this.hasFullState = true;
            return;
        }
        const waitMs = runtime.random.nextInt(MIN_WATCH_MS, MAX_WATCH_MS);
        using timeout = timeoutSignal(runtime.clock, waitMs + WATCH_RESPONSE_MARGIN_MS, signal);
        const result = await source.watch(store.revision, waitMs, timeout.signal);
        if (result.kind === "historyLost") {
            runtime.events.emit(platformReread, { revision: store.revision });
            this.hasFullState = false;
            return;
        }
        store.apply(result.revision, result.changes, "platform");
        if (result.changes.length > 0) {
            await sleep(runtime.clock, CHANGE_BATCH_DELAY_MS, signal);
        }
    }

    private recordSuccess(): void {
        const { runtime, store } = this.options;
        if (this.failingSinceMs === undefined) {
            return;
        }
        const awayMs = runtime.clock.nowMs() - this.failingSinceMs;
        if (awayMs >= MIN_OUTAGE_MS) {
            this.lastOutageEndMs = runtime.clock.nowMs();
        }
        this.failingSinceMs = undefined;
        runtime.events.emit(platformFound, { awayMs: Math.round(awayMs), revision: store.revision });
    }

    private recordFailure(error: string): void {
        const { runtime, store } = this.options;
        if (this.failingSinceMs === undefined) {
            this.failingSinceMs = runtime.clock.nowMs();
            runtime.events.emit(platformLost, { error, revision: store.revision });
        }
    }
}
