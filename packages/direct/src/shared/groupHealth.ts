/**
 * Whether the model servers of a service run requests. They form one group in lock-step: while one of them is missing,
 * all refuse. A request now and then finds out when they are back; the others are refused at once.
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
}

/** Time between requests that find out whether the group is back; less sends many requests into refusals. */
const PROBE_INTERVAL_MS = 400;
/**
 * Time after which a refused caller should return, in milliseconds. A group is down for seconds while a rank restarts or
 * a link is cut, and a caller that meets the same outage again has waited in vain.
 */
const RETRY_AFTER_MS = 2_200;
/** Returns are spread over this time, so that they do not arrive as a wave. */
const RETRY_AFTER_JITTER_MS = 1_500;
/** Part of the longest advice by which it is spread where the caller's time cuts it off. */
const CLAMPED_JITTER_SHARE = 0.15;
/** A report of another instance that is older than this is no evidence, in milliseconds. */
const MAX_REPORT_AGE_MS = 1_500;

/** Knows whether one group serves. */
export class GroupHealth {
    private readonly options: GroupHealthOptions;
    private downSinceMs: number | undefined;
    private lastUpMs = Number.NEGATIVE_INFINITY;
    private nextProbeMs = 0;

    /** @param options - clock, log and service */
    public constructor(options: GroupHealthOptions) {
        this.options = options;
    }

    /** Whether the group is down as far as known. */
    public get isDown(): boolean {
        return this.downSinceMs !== undefined;
    }

    /** Time since this instance last saw the group serve, in milliseconds. */
    public get sinceUpMs(): number {
        return this.options.clock.nowMs() - this.lastUpMs;
    }

    /**
     * Tells whether a request may be sent now: always while the group serves, else one at a time.
     *
     * @returns false when the request must be refused
     */
    public tryAllow(): boolean {
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
     * Notes that a server refused because another one is missing.
     *
     * @param fault - address that the refusing server named
     */
    public markDown(fault: string | undefined): void {
        const { clock, events, service } = this.options;
        if (this.downSinceMs === undefined) {
            this.downSinceMs = clock.nowMs();
            this.nextProbeMs = clock.nowMs() + PROBE_INTERVAL_MS;
            events.emit(groupDown, { service, fault });
        }
    }

    /** Notes that a server began an answer. */
    public markUp(): void {
        const { clock, events, service } = this.options;
        this.lastUpMs = clock.nowMs();
        if (this.downSinceMs !== undefined) {
            events.emit(groupUp, { service, downMs: Math.round(clock.nowMs() - this.downSinceMs) });
            this.downSinceMs = undefined;
        }
    }

    /**
     * Takes the report of another instance.
     *
     * @param sinceUpMs - time since that instance saw the group serve, in milliseconds
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
     * Estimates when a refused caller should come back.
     *
     * @param remainingMs - time that the caller still has, in milliseconds
     * @returns the delay, in milliseconds; at most a third of what the caller has left
     */
    public retryAfterMs(remainingMs: number): number {
        const { random } = this.options;
        const maxDelayMs = remainingMs / 3 * (1 - CLAMPED_JITTER_SHARE * random.nextFloat());
        return Math.min(RETRY_AFTER_MS + random.nextFloat() * RETRY_AFTER_JITTER_MS, maxDelayMs);
    }
}
