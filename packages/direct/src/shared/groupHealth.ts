/**
 * Tracks whether the group of model servers of a service runs requests. Its ranks run in lock-step: while one
 * of them is missing, all of them refuse. While the group is down, an occasional request probes whether it
 * has recovered; the others are refused at once.
 *
 * @packageDocumentation
 */

import type { Clock, EventLog, RandomSource, ServiceName } from "@magnolialock/kernel";
import { groupDown, groupUp } from "./directEvents.ts";

/** Options of a {@link GroupHealth}. */
export interface GroupHealthOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** The service. */
    readonly service: ServiceName;
    /** Name of the group; empty if it is not known. */
    readonly group: string;
}

/**
 * Mean time between probing requests while the group is down, in milliseconds; with a shorter one the servers
 * would refuse many requests.
 */
const PROBE_INTERVAL_MS = 400;
/**
 * Minimum retry delay for refused callers, in milliseconds. A group is down for seconds while a rank restarts
 * or a link is cut, and a caller that retries within the same outage has waited in vain.
 */
const RETRY_AFTER_MS = 2_200;
/**
 * Range of the random addition to the retry delay, in milliseconds, so that retries do not all arrive at
 * once.
 */
const RETRY_AFTER_JITTER_MS = 1_500;
/**
 * Jitter, as a share of the longest delay, that applies where the caller's remaining time limits the delay.
 */
const CLAMPED_JITTER_SHARE = 0.15;
/**
 * Reports of another instance whose last served request is longer ago than this are ignored, in milliseconds.
 */
const MAX_REPORT_AGE_MS = 1_500;

/**
 * Time without any event from a group that runs requests of this instance, after which other groups are
 * preferred, in milliseconds. A rank that is missing stalls its group for longer than that before it refuses;
 * a pass, or a switch of maps, takes less.
 */
const SILENCE_MS = 350;

/** Health of one group of model servers. */
export class GroupHealth {
    private readonly options: GroupHealthOptions;
    private downSinceMs: number | undefined;
    private lastUpMs = Number.NEGATIVE_INFINITY;
    private nextProbeMs = 0;
    private running = 0;
    private lastProgressMs = Number.NEGATIVE_INFINITY;

    /** @param options - clock, log and service */
    public constructor(options: GroupHealthOptions) {
        this.options = options;
    }

    /** Whether the group is considered down. */
    public get isDown(): boolean {
        return this.downSinceMs !== undefined;
    }

    /** Time since the group is down, in milliseconds; 0 while it is up. */
    public get downForMs(): number {
        return this.downSinceMs === undefined ? 0 : this.options.clock.nowMs() - this.downSinceMs;
    }

    /** Whether the group runs requests of this instance and has sent nothing for a while: it may have stalled. */
    public get isSilent(): boolean {
        return this.running > 0 && this.options.clock.nowMs() - this.lastProgressMs > SILENCE_MS;
    }

    /** Records that a request was sent to the group. */
    public begin(): void {
        if (this.running === 0) {
            this.recordProgress();
        }
        this.running++;
    }

    /** Records that a request has ended. */
    public end(): void {
        this.running--;
    }

    /** Records that an event of a stream arrived from the group; a stalled stream may still send single bytes. */
    public recordProgress(): void {
        this.lastProgressMs = this.options.clock.nowMs();
    }

    /**
     * Time since this instance last knew the group to serve, in milliseconds; infinite before the first time.
     */
    public get sinceUpMs(): number {
        return this.options.clock.nowMs() - this.lastUpMs;
    }

    /**
     * Decides whether a request may be sent now: always while the group is up, else one probe per interval. A
     * call that returns true while the group is down uses up the current probe.
     *
     * @returns false if the request must be refused
     */
    public allowRequest(): boolean {
        const { clock, random } = this.options;
        if (this.downSinceMs === undefined) {
            return true;
        }
        if (clock.nowMs() < this.nextProbeMs) {
            return false;
        }
        this.nextProbeMs = clock.nowMs() + PROBE_INTERVAL_MS * (0.75 + random.nextFloat() / 2);
        return true;
    }

    /**
     * Marks the group as down: a server refused because a rank is missing.
     *
     * @param refusingServer - address of that server, for the log; undefined if it is unknown
     */
    public markDown(refusingServer: string | undefined): void {
        const { clock, events, group, service } = this.options;
        if (this.downSinceMs === undefined) {
            this.downSinceMs = clock.nowMs();
            this.nextProbeMs = clock.nowMs() + PROBE_INTERVAL_MS;
            events.emit(groupDown, { service, group, fault: refusingServer });
        }
    }

    /** Marks the group as up: a server has begun a response. */
    public markUp(): void {
        const { clock, events, group, service } = this.options;
        this.lastUpMs = clock.nowMs();
        if (this.downSinceMs !== undefined) {
            events.emit(groupUp, { service, group, downMs: Math.round(clock.nowMs() - this.downSinceMs) });
            this.downSinceMs = undefined;
        }
    }

    /**
     * Applies the report of another instance; it marks the group as up if that instance saw it serve after it
     * was marked as down here.
     *
     * @param sinceUpMs - time since that instance last knew the group to serve, in milliseconds
     */
    public applyPeerReport(sinceUpMs: number): void {
        const { clock } = this.options;
        if (this.downSinceMs === undefined || sinceUpMs > MAX_REPORT_AGE_MS) {
            return;
        }
        if (clock.nowMs() - sinceUpMs > this.downSinceMs) {
            this.markUp();
        }
    }

    /**
     * Computes when a refused caller should retry.
     *
     * @param remainingMs - remaining time of the caller, in milliseconds
     * @returns the delay with jitter, in milliseconds; at most a third of the remaining time
     */
    public retryAfterMs(remainingMs: number): number {
        const { random } = this.options;
        const maxDelayMs = remainingMs / 3 * (1 - CLAMPED_JITTER_SHARE * random.nextFloat());
        return Math.min(RETRY_AFTER_MS + random.nextFloat() * RETRY_AFTER_JITTER_MS, maxDelayMs);
    }
}
