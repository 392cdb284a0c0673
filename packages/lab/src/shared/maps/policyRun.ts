/**
 * Simulation of one stand-in group whose map is decided by one policy.
 *
 * @packageDocumentation
 */

import {
    countLoadedCopies,
    createInitialMap,
    type ExpertLoads,
    type ExpertMap,
    type GroupCosts,
    type GroupShape,
    type MapDecision,
    type MapPolicy,
    PopularityEstimate,
    type TokenCountReport,
} from "@magnolialock/maps";
import { measureStep, switchStallMs, tokensPerStep } from "../standIns/groupTiming.ts";
import { SimulatedWeightStore } from "../standIns/simulatedWeightStore.ts";
import { SkewRecorder } from "./skewRecorder.ts";

/** Options of a {@link PolicyRun}. */
export interface PolicyRunOptions {
    /** Policy that decides about the map. */
    readonly policy: MapPolicy;
    /** Size of the group. */
    readonly shape: GroupShape;
    /** Cost model of the group. */
    readonly costs: GroupCosts;
    /** Called before a new map comes into force; runs the product's map switch. */
    readonly onSwitch?: (decision: MapDecision) => Promise<void>;
}

/** Figures of one policy. */
export interface PolicyFigures {
    /** Mean over steps of the skew: slowest rank ÷ mean. */
    readonly skewMean: number;
    /** 99th percentile over steps of the skew: slowest rank ÷ mean. */
    readonly skewP99: number;
    /** Bytes of expert copies loaded. */
    readonly bytesMoved: number;
    /** Number of steps that the group could have run while it was stalled. */
    readonly stepsStalled: number;
    /** Tokens per second ÷ those of the lower bound. */
    readonly tokensPerSecondRatio: number;
}

const POPULARITY_HALF_LIFE_MS = 60_000;

interface PendingChange {
    readonly decision: MapDecision;
    readonly readyMs: number;
}

/** Group whose map is decided by one policy. */
export class PolicyRun {
    /** Skew of the group's steps. */
    public readonly skew = new SkewRecorder();
    /** Number of tokens that the group has completed. */
    public tokens = 0;
    /** Number of steps that the group could have run while it was stalled. */
    public stepsStalled = 0;
    private readonly options: PolicyRunOptions;
    private readonly store: SimulatedWeightStore;
    private readonly popularity: PopularityEstimate;
    private map: ExpertMap;
    private pending: PendingChange | undefined;
    private stepMs: number;

    /** @param options - policy, size and costs */
    public constructor(options: PolicyRunOptions) {
        const { shape, costs } = options;
        this.options = options;
        this.store = new SimulatedWeightStore({ bytesPerS: costs.storeBytesPerS });
        this.popularity = new PopularityEstimate({ shape, halfLifeMs: POPULARITY_HALF_LIFE_MS });
        this.map = createInitialMap(shape);
        this.stepMs = costs.fixedStepMs;
    }

    /** Name of the policy. */
    public get name(): string {
        return this.options.policy.name;
    }

    /** Bytes of expert copies loaded. */
    public get bytesMoved(): number {
        return this.store.bytesLoaded;
    }

    /**
     * Adds a report of token counts to the estimate of popularity.
     *
     * @param report - sampled counts, delivered late
     */
    public report(report: TokenCountReport): void {
        this.popularity.add(report);
    }

    /**
     * Lets the policy decide, unless a change of map is pending.
     *
     * @param nowMs - present time, in milliseconds
     */
    public decide(nowMs: number): void {
        if (this.pending) {
            return;
        }
        const { costs, policy } = this.options;
        const decision = policy.decide({ nowMs, map: this.map, popularity: this.popularity, costs });
        if (decision) {
            const copies = countLoadedCopies(this.map, decision.map).reduce((sum, count) => sum + count, 0);
            this.pending = { decision, readyMs: this.store.load(nowMs, copies * costs.expertBytes) };
        }
    }

    /**
     * Runs steps for a span of time, all with the same token counts.
     *
     * @param nowMs - start of the span, in milliseconds
     * @param spanMs - length of the span, in milliseconds
     * @param counts - tokens of each expert in a step
     */
    public async runSteps(nowMs: number, spanMs: number, counts: ExpertLoads): Promise<void> {
        const stallMs = Math.min(spanMs, await this.switchWhenReady(nowMs));
        const { costs, shape } = this.options;
        const isLoading = this.store.isBusy(nowMs);
        const { stepMs, skew } = measureStep({ map: this.map, counts, costs, isLoading });
        this.stepMs = stepMs;
        this.skew.record(skew, spanMs);
        this.tokens += (spanMs - stallMs) / stepMs * tokensPerStep(shape);
    }

    /** Switches to the pending map once its copies are loaded. Returns the stall, in milliseconds. */
    private async switchWhenReady(nowMs: number): Promise<number> {
        if (!this.pending || this.pending.readyMs > nowMs) {
            return 0;
        }
        const { decision } = this.pending;
        this.pending = undefined;
        await this.options.onSwitch?.(decision);
        const stallMs = switchStallMs(this.map, decision.map, this.options.costs, this.stepMs);
        this.stepsStalled += stallMs / this.stepMs;
        this.map = decision.map;
        return stallMs;
    }
}
