/**
 * Calls that the last incarnation of the agent left running in the backend server.
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
    /** Gives the longest time that a call of the last incarnation can still run, in milliseconds. */
    readonly boundMs: () => number;
    /** Called when less is inherited than before. */
    readonly onChange: () => void;
}

/** Load reports lag by at most this time, in milliseconds. */
const MAX_REPORT_LAG_MS = 1_000;

interface OwnSample {
    readonly atMs: number;
    readonly running: number;
}

/** Assumes that the backend server is full until a report tells what it really carries. */
export class InheritedLoad {
    private readonly options: InheritedLoadOptions;
    private startedMs: number;
    private assumed = Number.POSITIVE_INFINITY;
    private samples: OwnSample[] = [];

    /** @param options - clock, events and time bound */
    public constructor(options: InheritedLoadOptions) {
        this.options = options;
        this.startedMs = options.clock.nowMs();
    }

    /** Starts the time bounds anew: the last incarnation may have worked until now. */
    public begin(): void {
        this.startedMs = this.options.clock.nowMs();
    }

    /** Calls to count besides the own ones; infinite while nothing is known. */
    public get count(): number {
        const { clock, events, boundMs } = this.options;
        if (this.assumed > 0 && clock.nowMs() - this.startedMs >= boundMs()) {
            events.emit(inheritedLoadSettled, { by: "time", assumed: this.assumed });
            this.assumed = 0;
        }
        return this.assumed;
    }

    /**
     * Takes a load report.
     *
     * @param load - the report
     * @param askedMs - when it was asked for
     * @param ownRunning - own calls that run now
     */
    public noteReport(load: BackendLoad, askedMs: number, ownRunning: number): void {
        if (this.assumed === 0) {
            return;
        }
        this.samples.push({ atMs: askedMs, running: ownRunning });
        this.samples = this.samples.filter(({ atMs }) => atMs >= askedMs - MAX_REPORT_LAG_MS);
        if (askedMs - this.startedMs < MAX_REPORT_LAG_MS) {
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

    /** The backend server's process is a new one: nothing is inherited. */
    public settle(): void {
        this.assumed = 0;
        this.options.onChange();
    }
}
