/**
 * One policy at work on one stand-in group.
 *
 * @packageDocumentation
 */

import {
    countLoadedCopies,
    type ExpertLoads,
    type ExpertMap,
    type GroupCosts,
    type GroupShape,
    initialMap,
    type MapDecision,
    type MapPolicy,
    PopularityEstimate,
    type TokenCountReport,
} from "@magnolialock/maps";
import { measureStep, switchStallMs, tokensPerStep } from "../standIns/groupModel.ts";
import { WeightStoreModel } from "../standIns/weightStoreModel.ts";
import { SkewRecorder } from "./skewRecorder.ts";

/** Options of a {@link PolicyRun}. */
export interface PolicyRunOptions {
    /** Policy that decides. */
    readonly policy: MapPolicy;
    /** Size of the group. */
    readonly shape: GroupShape;
    /** Costs of the group. */
    readonly costs: GroupCosts;
    /** Called when a map comes into force; the map switch of the product runs here. */
    readonly onSwitch?: (decision: MapDecision) => Promise<void>;
}

/** Figures of one policy. */
export interface PolicyFigures {
    /** Mean over steps of slowest rank ÷ mean. */
    readonly skewMean: number;
    /** 99th percentile over steps of slowest rank ÷ mean. */
    readonly skewP99: number;
    /** Bytes of expert copies that were loaded. */
    readonly bytesMoved: number;
    /** Steps that the group could have run while it stood still. */
    readonly stepsStalled: number;
    /** Tokens per second ÷ those of the lower bound. */
    readonly tokensPerSecondRatio: number;
}

const POPULARITY_HALF_LIFE_MS = 60_000;

interface PendingChange {
    readonly decision: MapDecision;
    readonly readyMs: number;
}

/** Group whose map one policy decides. */
export class PolicyRun {
    /** Skew of its steps. */
    public readonly skew = new SkewRecorder();
    /** Tokens that it has finished. */
    public tokens = 0;
    /** Steps for which it stood still. */
    public stepsStalled = 0;
    private readonly options: PolicyRunOptions;
    private readonly store: WeightStoreModel;
    private readonly popularity: PopularityEstimate;
    private map: ExpertMap;
    private pending: PendingChange | undefined;
    private stepMs: number;

    /** @param options - policy, size and costs */
    public constructor(options: PolicyRunOptions) {
        const { shape, costs } = options;
        this.options = options;
        this.store = new WeightStoreModel({ bytesPerS: costs.storeBytesPerS });
        this.popularity = new PopularityEstimate({ shape, halfLifeMs: POPULARITY_HALF_LIFE_MS });
        this.map = initialMap(shape);
        this.stepMs = costs.fixedStepMs;
    }

    /** Name of the policy. */
    public get name(): string {
        return this.options.policy.name;
    }

    /** Bytes of expert copies that were loaded. */
    public get bytesMoved(): number {
        return this.store.bytesLoaded;
    }

    /**
     * Takes a report of token counts.
     *
     * @param report - late, sampled counts
     */
    public report(report: TokenCountReport): void {
        this.popularity.add(report);
    }

    /**
     * Lets the policy decide, unless a change is under way.
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
     * Runs steps for a span of time; all its steps have the same counts.
     *
     * @param nowMs - start, in milliseconds
     * @param spanMs - length, in milliseconds
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
