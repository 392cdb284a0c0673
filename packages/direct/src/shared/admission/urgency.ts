/**
 * Decides which request of a service is admitted next, and how many free slots stay reserved for more urgent
 * ones, where the routes of the service differ in priority.
 *
 * It handles sustained overload, and bursts of one kind of request. Without a reserve the less urgent requests
 * occupy every slot as it becomes free, and an urgent request that arrives a moment later waits for the end of
 * one of them.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import type { RouteRule } from "../../types/publishedState.ts";
import { DecayingRate } from "./decayingRate.ts";

/** Properties of a request that decide about its admission. */
export interface UrgencyCall {
    /** Time at which the request was received, in milliseconds. */
    readonly receivedMs: number;
    /** Latest start at which the response can still meet the latency target, in milliseconds. */
    readonly targetStartMs: number;
    /** Latest useful start, in milliseconds. */
    readonly latestStartMs: number;
    /** Priority of the request; 0 is the most urgent. */
    readonly priority: number;
    /** Client account; undefined if the request has none. */
    readonly account?: string | undefined;
}

/** Use of the slots of one instance. */
export interface SlotUse {
    /** Requests that the instance may run at once. */
    readonly limit: number;
    /** Requests that it runs. */
    readonly running: number;
    /** Mean time for which a request holds its slot, in milliseconds. */
    readonly meanRunMs: number;
}

interface PriorityDemand {
    readonly arrivals: DecayingRate;
    readonly admissions: DecayingRate;
    running: number;
    meanRunMs: number | undefined;
    /** Mean time for which a request may wait for its slot, in milliseconds. */
    allowedWaitMs: number;
}

/** Who got more or less than its part of the latest admissions. */
interface Standing {
    readonly nowMs: number;
    readonly owedPriorities: ReadonlySet<number>;
    readonly accountsAboveShare: ReadonlySet<string>;
}

/** Arrivals are measured over about this time, in milliseconds; the bursts to follow last 3.5 s and longer. */
const ARRIVAL_TIME_CONSTANT_MS = 2_000;
/** Admissions are compared over about this time, in milliseconds: a few runs of a request. */
const ADMISSION_TIME_CONSTANT_MS = 5_000;
/** Weight of a new sample in the moving averages of run times and allowed waits. */
const SAMPLE_WEIGHT = 0.1;
/** Part of the admissions that each priority gets even while more urgent requests could use all slots. */
export const GUARANTEED_SHARE = 0.05;
/**
 * Standard deviations of the arrivals and ends within the allowed wait that the reserve covers. With 1, the kind
 * with the longest target was served as often as a more urgent one with a short target, because it can wait for the
 * exceptions.
 */
const RESERVE_DEVIATIONS = 1.5;
/**
 * Standard deviations by which the starts within the allowed wait must fall short before a request is refused at
 * once. With 1, requests were refused that would have been in time.
 */
const REFUSAL_DEVIATIONS = 2;
/** Admissions of an account above its equal share that are tolerated: single requests are no unfairness. */
const ACCOUNT_TOLERANCE = 1.25;
/**
 * Time between two comparisons of the accounts, in milliseconds; comparing them for each decision took more time than
 * the decision at 40 accounts.
 */
const ACCOUNT_REFRESH_MS = 20;

/**
 * Tells whether the routes of a service differ in priority.
 *
 * @param routes - all routes of the configuration
 * @param service - the service
 */
export const differsInPriority = (routes: readonly RouteRule[], service: ServiceName): boolean =>
    new Set(
        routes
            .filter(({ targets }) => targets.some(target => target.service === service && target.weight > 0))
            .map(({ priority }) => priority),
    ).size > 1;

/** Tells whether an account has got more than an equal share of the latest admissions. */
const isAboveShare = ({ account }: UrgencyCall, { accountsAboveShare }: Standing): boolean =>
    accountsAboveShare.size > 0 && account !== undefined && accountsAboveShare.has(account);

const precedes = (left: UrgencyCall, right: UrgencyCall, nowMs: number, standing: Standing): boolean => {
    const isLeftOnTime = nowMs < left.targetStartMs;
    if (isLeftOnTime !== nowMs < right.targetStartMs) {
        return isLeftOnTime;
    }
    if (!isLeftOnTime) {
        return left.latestStartMs < right.latestStartMs;
    }
    if (left.priority !== right.priority) {
        const isLeftOwed = standing.owedPriorities.has(left.priority);
        return isLeftOwed === standing.owedPriorities.has(right.priority)
            ? left.priority < right.priority
            : isLeftOwed;
    }
    const isLeftOver = isAboveShare(left, standing);
    return isLeftOver === isAboveShare(right, standing)
        ? left.targetStartMs < right.targetStartMs
        : !isLeftOver;
};

/** Measures the demand of one service by priority and account, and derives the decisions from it. */
export class UrgencyPolicy {
    private readonly demands = new Map<number, PriorityDemand>();
    private readonly accounts = new Map<string, DecayingRate>();
    private currentStanding: Standing | undefined;
    private accountsAboveShare: ReadonlySet<string> = new Set();
    private accountsReadMs = Number.NEGATIVE_INFINITY;

    /**
     * Records a request that asks for a slot.
     *
     * @param call - the request
     * @param nowMs - current time, in milliseconds
     */
    public recordArrival(call: UrgencyCall, nowMs: number): void {
        const allowedWaitMs = Math.max(0, call.targetStartMs - call.receivedMs);
        const demand = this.demand(call.priority, nowMs, allowedWaitMs);
        demand.arrivals.record(nowMs);
        demand.allowedWaitMs += SAMPLE_WEIGHT * (allowedWaitMs - demand.allowedWaitMs);
    }

    /**
     * Records that a request got a slot.
     *
     * @param call - the request
     * @param nowMs - current time, in milliseconds
     */
    public recordAdmission(call: UrgencyCall, nowMs: number): void {
        const demand = this.demand(call.priority, nowMs, 0);
        demand.running++;
        demand.admissions.record(nowMs);
        this.currentStanding = undefined;
        if (call.account !== undefined) {
            const account = this.accounts.get(call.account)
                ?? new DecayingRate(ADMISSION_TIME_CONSTANT_MS, nowMs);
            account.record(nowMs);
            this.accounts.set(call.account, account);
        }
    }

    /**
     * Records that a request has returned its slot.
     *
     * @param call - the request
     * @param runMs - time for which it held the slot, in milliseconds; undefined when it was not served
     */
    public recordEnd({ priority }: UrgencyCall, runMs: number | undefined): void {
        const demand = this.demands.get(priority);
        if (!demand) {
            return;
        }
        demand.running--;
        if (runMs !== undefined) {
            demand.meanRunMs = demand.meanRunMs === undefined
                ? runMs
                : demand.meanRunMs + SAMPLE_WEIGHT * (runMs - demand.meanRunMs);
        }
    }

    /**
     * Tells whether one waiting request goes before another: those that can still meet their target first, among
     * them by priority, then those of accounts within their equal share, then by remaining time.
     *
     * @param left - one request
     * @param right - another one
     * @param nowMs - current time, in milliseconds
     */
    public hasPrecedence(left: UrgencyCall, right: UrgencyCall, nowMs: number): boolean {
        return precedes(left, right, nowMs, this.standing(nowMs));
    }

    /**
     * Selects the request that is admitted next.
     *
     * @param waiters - waiting requests
     * @param nowMs - current time, in milliseconds
     * @returns the first one in the order of {@link UrgencyPolicy.hasPrecedence}; undefined when nothing waits
     */
    public pickNext<T extends { readonly call: UrgencyCall; }>(
        waiters: Iterable<T>,
        nowMs: number,
    ): T | undefined {
        const standing = this.standing(nowMs);
        let best: T | undefined;
        for (const candidate of waiters) {
            if (!best || precedes(candidate.call, best.call, nowMs, standing)) {
                best = candidate;
            }
        }
        return best;
    }

    /**
     * Computes how many free slots stay reserved for more urgent requests: as many as their arrivals are likely to
     * exceed the ends of running requests within the time that they may wait, but no more than their measured
     * demand occupies. Slots that this demand does not need are lent.
     *
     * @param priority - priority of the request that asks for a slot
     * @param use - use of the slots
     * @param nowMs - current time, in milliseconds
     * @returns the number of slots, at least 0 and less than the limit; 0 while the priority has not got its
     * guaranteed share
     */
    public reserveFor(priority: number, use: SlotUse, nowMs: number): number {
        if (this.isBelowGuarantee(priority, nowMs)) {
            return 0;
        }
        const endsPerMs = use.running / use.meanRunMs;
        let unused = 0;
        let arrivals = 0;
        let longestWaitMs = 0;
        for (const [other, demand] of this.demands) {
            if (other < priority) {
                const perMs = demand.arrivals.perMs(nowMs);
                const occupied = perMs * (demand.meanRunMs ?? use.meanRunMs);
                unused += Math.max(0, occupied + Math.sqrt(occupied) - demand.running);
                arrivals += perMs * demand.allowedWaitMs;
                longestWaitMs = Math.max(longestWaitMs, perMs > 0 ? demand.allowedWaitMs : 0);
            }
        }
        const ends = endsPerMs * longestWaitMs;
        const wanted = Math.min(unused, arrivals - ends + RESERVE_DEVIATIONS * Math.sqrt(arrivals + ends));
        return Math.max(0, Math.min(Math.round(wanted), use.limit - 1));
    }

    /**
     * Tells whether a new request is refused at once, because it would probably miss its target. Requests that no
     * more urgent demand delays are never refused by this estimate.
     *
     * @param call - the request
     * @param waiters - requests that wait already
     * @param use - use of the slots
     * @param nowMs - current time, in milliseconds
     */
    public isHopeless(
        call: UrgencyCall,
        waiters: Iterable<{ readonly call: UrgencyCall; }>,
        use: SlotUse,
        nowMs: number,
    ): boolean {
        const remainingMs = call.targetStartMs - nowMs;
        if (remainingMs <= 0 || this.isBelowGuarantee(call.priority, nowMs)) {
            return false;
        }
        let urgentPerMs = 0;
        for (const [other, { arrivals }] of this.demands) {
            urgentPerMs += other < call.priority ? arrivals.perMs(nowMs) : 0;
        }
        if (urgentPerMs === 0) {
            return false;
        }
        const endsPerMs = use.running / use.meanRunMs;
        const likelyStarts = Math.max(0, (endsPerMs - urgentPerMs) * remainingMs)
            + REFUSAL_DEVIATIONS * Math.sqrt((endsPerMs + urgentPerMs) * remainingMs);
        const standing = this.standing(nowMs);
        let before = 0;
        for (const waiter of waiters) {
            before += waiter.call !== call && precedes(waiter.call, call, nowMs, standing) ? 1 : 0;
        }
        return before + 1 > likelyStarts;
    }

    /** Tells whether a priority has got less than its guaranteed share of the latest admissions. */
    private isBelowGuarantee(priority: number, nowMs: number): boolean {
        return this.standing(nowMs).owedPriorities.has(priority);
    }

    /** Computes who got more or less than its part; once for all comparisons of a decision. */
    private standing(nowMs: number): Standing {
        if (nowMs - this.accountsReadMs >= ACCOUNT_REFRESH_MS) {
            this.accountsReadMs = nowMs;
            this.accountsAboveShare = this.findAccountsAboveShare(nowMs);
            this.currentStanding = undefined;
        }
        if (this.currentStanding?.nowMs !== nowMs) {
            const admissions = [...this.demands].map(([priority, demand]) => ({
                priority,
                weight: demand.admissions.weight(nowMs),
            }));
            const guaranteed = GUARANTEED_SHARE * admissions.reduce((sum, { weight }) => sum + weight, 0);
            this.currentStanding = {
                nowMs,
                owedPriorities: new Set(
                    admissions.filter(({ weight }) => weight < guaranteed).map(({ priority }) => priority),
                ),
                accountsAboveShare: this.accountsAboveShare,
            };
        }
        return this.currentStanding;
    }

    private findAccountsAboveShare(nowMs: number): ReadonlySet<string> {
        const shares = [...this.accounts].map(([name, rate]) => ({ name, weight: rate.weight(nowMs) }));
        const active = Math.max(1, shares.filter(({ weight }) => weight >= 1).length);
        const equalShare = shares.reduce((sum, { weight }) => sum + weight, 0) / active;
        return new Set(
            shares.filter(({ weight }) => weight > 1 + ACCOUNT_TOLERANCE * equalShare).map(({ name }) =>
                name
            ),
        );
    }

    private demand(priority: number, nowMs: number, allowedWaitMs: number): PriorityDemand {
        let demand = this.demands.get(priority);
        if (!demand) {
            demand = {
                arrivals: new DecayingRate(ARRIVAL_TIME_CONSTANT_MS, nowMs),
                admissions: new DecayingRate(ADMISSION_TIME_CONSTANT_MS, nowMs),
                running: 0,
                meanRunMs: undefined,
                allowedWaitMs,
            };
            this.demands.set(priority, demand);
        }
        return demand;
    }
}
