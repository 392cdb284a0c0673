/**
 * Estimate of the calls that the previous incarnation of the agent left running in the backend server.
 *
 * @packageDocumentation
 */

import type { Clock, EventLog } from "@magnolialock/kernel";
import type { BackendLoad } from "../types/backend.ts";
import { inheritedLoadSeen, inheritedLoadSettled } from "./agentEvents.ts";

/** Options of {@link InheritedLoad}. */
export interface InheritedLoadOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Gives the longest time that a call of the previous incarnation can still run, in milliseconds. */
    readonly boundMs: () => number;
    /** Called when the estimate has decreased. */
    readonly onChange: () => void;
}

/** Upper bound for the lag of load reports behind the actual load, in milliseconds. */
const MAX_REPORT_LAG_MS = 1_000;

interface OwnLoadSample {
    readonly atMs: number;
    readonly running: number;
}

/**
 * Assumes that the backend server is full until a load report shows its actual load. The estimate only
 * decreases, and it is zero once the time bound has passed.
 */
export class InheritedLoad {
    private readonly options: InheritedLoadOptions;
    private startedMs: number;
    private assumed = Number.POSITIVE_INFINITY;
    private samples: OwnLoadSample[] = [];

    /** @param options - clock, events and time bound */
    public constructor(options: InheritedLoadOptions) {
        this.options = options;
        this.startedMs = options.clock.nowMs();
    }

    /** Restarts the time bounds: the previous incarnation may have started calls until now. */
    public resetStartTime(): void {
        this.startedMs = this.options.clock.nowMs();
    }

    /** Number of calls to count in addition to this incarnation's own; infinite while nothing is known. */
    public get count(): number {
        const { clock, events, boundMs } = this.options;
        if (this.assumed > 0 && clock.nowMs() - this.startedMs >= boundMs()) {
            events.emit(inheritedLoadSettled, { by: "time", assumed: this.assumed });
            this.assumed = 0;
        }
        return this.assumed;
    }

    /**
     * Updates the estimate from a load report. As the report may lag, the fewest own calls that ran within
     * the lag are subtracted from it, and reports within the lag after the start are not used.
     *
     * @param load - the report
     * @param requestedAtMs - time at which it was requested, in milliseconds
     * @param ownRunning - number of this incarnation's calls that run now
     */
    public recordReport(load: BackendLoad, requestedAtMs: number, ownRunning: number): void {
        if (this.assumed === 0) {
            return;
        }
        this.samples.push({ atMs: requestedAtMs, running: ownRunning });
        this.samples = this.samples.filter(({ atMs }) => atMs >= requestedAtMs - MAX_REPORT_LAG_MS);
        if (requestedAtMs - this.startedMs < MAX_REPORT_LAG_MS) {
            return;
        }
        const fewestOwn = Math.min(...this.samples.map(({ running }) => running));
        const inherited = Math.max(0, load.running + load.waiting - fewestOwn);
        if (inherited >= this.assumed) {
            return;
        }
        this.assumed = inherited;
        this.options.events.emit(inherited === 0 ? inheritedLoadSettled : inheritedLoadSeen, {
            by: "report",
            assumed: inherited,
        });
        this.options.onChange();
    }

    /** Sets the estimate to zero, because a restart of the backend server has ended all inherited calls. */
    public clear(): void {
        this.assumed = 0;
        this.options.onChange();
    }
}
