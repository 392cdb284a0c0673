/**
 * Pass budget of one service: how many requests its model servers run at once so that the pauses between events stay
 * below the gap target of its routes.
 *
 * It handles the load pattern of full slots: each request that generates output lengthens the passes of its whole
 * group, until every stream there misses the gap target.
 *
 * @packageDocumentation
 */

import type { Clock, EventLog, ServiceName } from "@magnolialock/kernel";
import type { EngineTiming } from "../../types/publishedState.ts";
import type { TrackedServer } from "../trackedServer.ts";
import { GroupPace } from "./groupPace.ts";
import { maxReadTokens, passMs, requestsWithin } from "./passModel.ts";
import { passBudgetBegan, passBudgetEnded } from "./placementEvents.ts";

/** What the budget depends on. */
export interface PassLimits {
    /** Timing of the engine. */
    readonly timing: EngineTiming;
    /** Target for the longest pause between events, in milliseconds. */
    readonly targetGapMs: number;
}

/** Options of a {@link PassBudget}. */
export interface PassBudgetOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** The service. */
    readonly service: ServiceName;
    /** Returns what the budget depends on; undefined where it does not apply. */
    readonly limits: () => PassLimits | undefined;
    /** Returns the servers of the service. */
    readonly servers: () => readonly TrackedServer[];
}

interface GroupState {
    readonly pace: GroupPace;
    /** Whether the budget applies. */
    isLimited: boolean;
    /** Time before which a change is not logged, in milliseconds. */
    nextLogMs: number;
}

/**
 * Part of the target that is left for the network and for the two processes between server and caller, in milliseconds.
 */
const NETWORK_MARGIN_MS = 10;
/**
 * Share of the slots that the budget always leaves. Short of that the fixed part of a step dominates a pass, so a server
 * loses more answers than it wins in time; the pace is also only an estimate.
 */
const LEAST_SLOT_SHARE = 0.3;
/** Time for which the load of a group is kept between measurements, in milliseconds. */
const LOAD_REFRESH_MS = 100;
/** Time after which a long prompt is forgotten, at least, in milliseconds: several times the duration of a stream. */
const LONGEST_PROMPT_MS = 5_000;
/** Time between two log lines about the budget of a group, in milliseconds. */
const LOG_PERIOD_MS = 10_000;

/** Pass budget of one service. */
export class PassBudget {
    private readonly groups = new Map<string | undefined, GroupState>();
    private loads: ReadonlyMap<string | undefined, number> = new Map();
    private loadsReadMs = Number.NEGATIVE_INFINITY;
    private longestPrompts = { current: 0, previous: 0, startedMs: 0 };

    /** @param options - clock, log, service, limits and servers */
    public constructor(private readonly options: PassBudgetOptions) {}

    /** Number of groups whose budget applies. */
    public get limitedGroups(): number {
        return [...this.groups.values()].filter(({ isLimited }) => isLimited).length;
    }

    /**
     * Records the prompt of a request that is sent to a server.
     *
     * @param tokens - its length, in tokens
     */
    public recordPrompt(tokens: number): void {
        const nowMs = this.options.clock.nowMs();
        const { current, startedMs } = this.longestPrompts;
        this.longestPrompts = nowMs - startedMs > LONGEST_PROMPT_MS
            ? { current: tokens, previous: current, startedMs: nowMs }
            : { ...this.longestPrompts, current: Math.max(current, tokens) };
    }

    /**
     * Records a pause between two events of a stream.
     *
     * @param groupName - group of the server that sends the stream
     * @param pauseMs - the pause, in milliseconds
     */
    public recordPause(groupName: string | undefined, pauseMs: number): void {
        const { timing } = this.options.limits() ?? {};
        if (timing) {
            const load = { requests: this.meanRequests(groupName), readTokens: this.readTokens(timing) };
            this.group(groupName).pace.record(pauseMs, passMs(timing, load));
        }
    }

    /**
     * Computes how many requests a server may run at once. The budget of its group begins to apply once the measured
     * pauses exceed the target, and ends when they would not at full slots.
     *
     * @param server - the server
     * @returns the number, not rounded; at most the slots of the server
     */
    public requestsOf({ entry: { slots }, groupName }: TrackedServer): number {
        const limits = this.options.limits();
        const group = this.groups.get(groupName);
        if (!group) {
            return slots;
        }
        if (!limits || !group.pace.isMeasured) {
            this.setLimited(group, groupName, false);
            return slots;
        }
        const { targetGapMs, timing } = limits;
        const limitMs = (targetGapMs - NETWORK_MARGIN_MS) / group.pace.value;
        const requests = requestsWithin(timing, limitMs, this.readTokens(timing));
        // Where the pauses exceed the target even while only usual prompts are read, fewer requests would only be fewer
        // late answers.
        const isReachable = requestsWithin(timing, limitMs, timing.usualPromptTokens) >= 1;
        if (requests >= slots || !isReachable) {
            this.setLimited(group, groupName, false);
        }
        else if (group.pace.pauseMs > targetGapMs) {
            this.setLimited(group, groupName, true);
        }
        return group.isLimited ? Math.min(slots, Math.max(slots * LEAST_SLOT_SHARE, requests)) : slots;
    }

    private setLimited(group: GroupState, groupName: string | undefined, isLimited: boolean): void {
        const { clock, events, service } = this.options;
        if (group.isLimited === isLimited) {
            return;
        }
        group.isLimited = isLimited;
        if (clock.nowMs() >= group.nextLogMs) {
            group.nextLogMs = clock.nowMs() + LOG_PERIOD_MS;
            const pauseMs = Math.round(group.pace.pauseMs);
            const details = { service, group: groupName, pauseMs, pace: Number(group.pace.value.toFixed(2)) };
            events.emit(isLimited ? passBudgetBegan : passBudgetEnded, details);
        }
    }

    /** Prompt tokens that a pass reads at its slowest server: the longest prompt of late, as a stream meets them all. */
    private readTokens(timing: EngineTiming): number {
        const { current, previous } = this.longestPrompts;
        return Math.min(maxReadTokens(timing), Math.max(current, previous, timing.usualPromptTokens));
    }

    /** Mean number of requests that a server of a group runs. */
    private meanRequests(groupName: string | undefined): number {
        const { clock, servers } = this.options;
        if (clock.nowMs() - this.loadsReadMs >= LOAD_REFRESH_MS) {
            this.loadsReadMs = clock.nowMs();
            const sums = new Map<string | undefined, { running: number; servers: number; }>();
            for (const server of servers()) {
                const sum = sums.get(server.groupName) ?? { running: 0, servers: 0 };
                sum.running += Math.min(server.running, server.entry.slots);
                sum.servers++;
                sums.set(server.groupName, sum);
            }
            this.loads = new Map([...sums].map(([name, sum]) => [name, sum.running / sum.servers]));
        }
        return this.loads.get(groupName) ?? 0;
    }

    private group(groupName: string | undefined): GroupState {
        let group = this.groups.get(groupName);
        if (!group) {
            const pace = new GroupPace(this.options.clock);
            group = { pace, isLimited: false, nextLogMs: Number.NEGATIVE_INFINITY };
            this.groups.set(groupName, group);
        }
        return group;
    }
}
