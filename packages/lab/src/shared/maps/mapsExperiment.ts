/**
 * Experiment `maps`: compares map policies on identical stand-in groups with the same token counts.
 *
 * @packageDocumentation
 */

import { createRandomSource, type RandomSource } from "@magnolialock/kernel";
import {
    createCostAwarePolicy,
    createInitialMap,
    type ExpertLoads,
    type GroupShape,
    planMap,
    type TokenCountReport,
} from "@magnolialock/maps";
import { createGroupCosts, stepTimeMs, tokensPerStep } from "../standIns/groupTiming.ts";
import { createPopularityModel, drawPoisson, type Drift } from "../standIns/popularityModel.ts";
import {
    createAlwaysMove,
    createGreedyReplication,
    createNeverMove,
    createThresholdMove,
} from "./baselines.ts";
import { boundMapLoad } from "./lowerBound.ts";
import { type PolicyFigures, PolicyRun } from "./policyRun.ts";
import { SkewRecorder } from "./skewRecorder.ts";
import { type SwitchFigures, SwitchRun } from "./switchRun.ts";

/** Options of {@link runMapsExperiment}. */
export interface MapsExperimentOptions {
    /** Seed of the random numbers. */
    readonly seed: number;
    /** Number of ranks of the group. */
    readonly ranks: number;
    /** Number of experts in each layer. */
    readonly experts: number;
    /** Number of layers with experts. */
    readonly layers: number;
    /** How the popularity of experts changes over time. */
    readonly drift: Drift;
    /** Reads the processor time that this process has used, in milliseconds. */
    readonly processorMs: () => number;
}

/** Result of the experiment. */
export interface MapsReport extends SwitchFigures {
    /** Arguments of the run. */
    readonly arguments: Readonly<Record<string, string | number>>;
    /** Figures of each policy and of the lower bound, by name. */
    readonly policies: Readonly<Record<string, PolicyFigures>>;
    /** Median processor time of a full plan, in milliseconds. */
    readonly planCpuMs: number;
}

interface DriftTimes {
    /** Simulated time of the run, in milliseconds. */
    readonly durationMs: number;
    /** Length of a span, whose steps all have the same sampled token counts, in milliseconds. */
    readonly spanMs: number;
    /** Time between decision points, at which policies may change the map, in milliseconds. */
    readonly decisionIntervalMs: number;
}

const DRIFT_TIMES: Readonly<Record<Drift, DriftTimes>> = {
    day: { durationMs: 86_400_000, spanMs: 300_000, decisionIntervalMs: 300_000 },
    burst: { durationMs: 1_200_000, spanMs: 2_000, decisionIntervalMs: 10_000 },
    flip: { durationMs: 600_000, spanMs: 1_000, decisionIntervalMs: 5_000 },
    calm: { durationMs: 1_200_000, spanMs: 2_000, decisionIntervalMs: 10_000 },
};

/** Initial phase of a run, in which maps still change often; it is sampled in shorter spans. */
const INITIAL_PHASE_MS = 600_000;
const INITIAL_SPAN_MS = 10_000;

interface Span {
    readonly startMs: number;
    readonly spanMs: number;
    /** Whether the span ends at a decision point. */
    readonly isDecisionPoint: boolean;
}

const listSpans = (drift: Drift): Span[] => {
    const { durationMs, spanMs, decisionIntervalMs } = DRIFT_TIMES[drift];
    const spans: Span[] = [];
    let endMs = 0;
    while (endMs < durationMs) {
        const startMs = endMs;
        const lengthMs = startMs < INITIAL_PHASE_MS ? Math.min(INITIAL_SPAN_MS, spanMs) : spanMs;
        endMs = startMs + lengthMs;
        const isDecisionPoint = endMs
                % Math.min(
                    decisionIntervalMs,
                    startMs < INITIAL_PHASE_MS ? INITIAL_SPAN_MS : decisionIntervalMs,
                ) === 0;
        spans.push({ startMs, spanMs: lengthMs, isDecisionPoint });
    }
    return spans;
};

/** Tokens that are sampled for the reported counts, per layer and second. */
const SAMPLES_PER_S = 20_000;
/**
 * Smallest delay of the reports of token counts, in milliseconds. It has no effect at present: every report
 * is delivered one span late, whatever the length of the span.
 */
const REPORT_LAG_MS = 4_000;
/** Spare slots of a rank, as a share of the slots that its part of the experts needs; at least one slot. */
const SPARE_SLOT_SHARE = 0.125;

const groupShape = ({ ranks, experts, layers }: MapsExperimentOptions): GroupShape => {
    const expertsPerRank = Math.ceil(experts / ranks);
    return {
        ranks,
        experts,
        layers,
        slotsPerRank: expertsPerRank + Math.max(1, Math.round(expertsPerRank * SPARE_SLOT_SHARE)),
    };
};

const sampleCounts = (random: RandomSource, shares: ExpertLoads, total: number): ExpertLoads =>
    shares.map(share => drawPoisson(random, share * total));

/** Figures of the lower bound, computed as for a policy. */
class LowerBound {
    public readonly skew = new SkewRecorder();
    public tokens = 0;

    public constructor(private readonly shape: GroupShape) {}

    public runSteps(spanMs: number, counts: ExpertLoads): void {
        const { peak, mean } = boundMapLoad(this.shape, counts);
        this.skew.record(peak / mean, spanMs);
        this.tokens += spanMs / stepTimeMs(createGroupCosts(this.shape), peak) * tokensPerStep(this.shape);
    }
}

const policyFigures = (run: PolicyRun, bound: LowerBound): PolicyFigures => ({
    skewMean: run.skew.mean(),
    skewP99: run.skew.percentile(0.99),
    bytesMoved: run.bytesMoved,
    stepsStalled: run.stepsStalled,
    tokensPerSecondRatio: run.tokens / bound.tokens,
});

const lowerBoundFigures = (bound: LowerBound): PolicyFigures => ({
    skewMean: bound.skew.mean(),
    skewP99: bound.skew.percentile(0.99),
    bytesMoved: 0,
    stepsStalled: 0,
    tokensPerSecondRatio: 1,
});

const createRuns = (shape: GroupShape, switchRun: SwitchRun): PolicyRun[] => {
    const costs = createGroupCosts(shape);
    const product = new PolicyRun({
        policy: createCostAwarePolicy(),
        shape,
        costs,
        onSwitch: decision => switchRun.change(decision.map),
    });
    const baselines = [
        createNeverMove(),
        createAlwaysMove(),
        createThresholdMove(),
        createGreedyReplication(),
    ]
        .map(policy => new PolicyRun({ policy, shape, costs }));
    return [product, ...baselines];
};

const simulateRuns = async (
    options: MapsExperimentOptions,
    shape: GroupShape,
    runs: readonly PolicyRun[],
    bound: LowerBound,
): Promise<void> => {
    const { durationMs } = DRIFT_TIMES[options.drift];
    const random = createRandomSource(options.seed);
    const model = createPopularityModel({
        ...shape,
        drift: options.drift,
        random: random.fork("popularity"),
        durationMs,
    });
    const countRandom = random.fork("steps");
    const sampleRandom = random.fork("samples");
    const { assignmentsPerStep } = createGroupCosts(shape);
    const shares = new Float64Array(shape.layers * shape.experts);
    const reports: TokenCountReport[] = [];
    for (const { startMs, spanMs, isDecisionPoint } of listSpans(options.drift)) {
        model.writeShares(startMs, shares);
        const counts = sampleCounts(countRandom, shares, assignmentsPerStep);
        for (const run of runs) {
            await run.runSteps(startMs, spanMs, counts);
        }
        bound.runSteps(spanMs, counts);
        const endMs = startMs + spanMs;
        deliverReports(runs, reports, Math.max(startMs, endMs - REPORT_LAG_MS));
        reports.push({ endMs, counts: sampleCounts(sampleRandom, shares, SAMPLES_PER_S * spanMs / 1_000) });
        if (isDecisionPoint) {
            runs.forEach(run => run.decide(endMs));
        }
    }
};

/** Delivers the reports that ended by a given time. */
const deliverReports = (runs: readonly PolicyRun[], reports: TokenCountReport[], untilMs: number): void => {
    while (reports.length > 0 && reports[0]!.endMs <= untilMs) {
        const report = reports.shift()!;
        runs.forEach(run => run.report(report));
    }
};

const PLAN_REPEATS = 5;

/** Measures the median processor time of a full plan, in milliseconds. */
const measurePlanCpuMs = (options: MapsExperimentOptions, shape: GroupShape): number => {
    const loads = new Float64Array(shape.layers * shape.experts);
    createPopularityModel({
        ...shape,
        drift: "calm",
        random: createRandomSource(options.seed),
        durationMs: 0,
    }).writeShares(0, loads);
    const times = Array.from({ length: PLAN_REPEATS }, () => {
        const startMs = options.processorMs();
        planMap(shape, loads);
        return options.processorMs() - startMs;
    });
    return times.sort((left, right) => left - right)[Math.floor(PLAN_REPEATS / 2)]!;
};

/**
 * Runs all policies with the same token counts.
 *
 * @param options - seed, size and drift
 * @returns figures of each policy, of the lower bound and of the map switches
 * @throws RangeError when a map switch does not complete
 */
export const runMapsExperiment = async (options: MapsExperimentOptions): Promise<MapsReport> => {
    const shape = groupShape(options);
    const switchRandom = createRandomSource(options.seed).fork("switches");
    await using switchRun = await SwitchRun.start(createInitialMap(shape), switchRandom);
    const runs = createRuns(shape, switchRun);
    const bound = new LowerBound(shape);
    await simulateRuns(options, shape, runs, bound);
    const { seed, ranks, experts, layers, drift } = options;
    return {
        arguments: { seed, ranks, experts, layers, drift },
        policies: Object.fromEntries([
            ...runs.map(run => [run.name, policyFigures(run, bound)] as const),
            ["lowerBound", lowerBoundFigures(bound)] as const,
        ]),
        ...switchRun.figures(),
        planCpuMs: measurePlanCpuMs(options, shape),
    };
};
