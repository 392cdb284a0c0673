/**
 * Stateful fuzzing of a virtual fleet against the oracle.
 *
 * @packageDocumentation
 */

import * as fc from "fast-check";
import { checkPromises, type Violation } from "../oracle/promise.ts";
import "../oracle/answerPromises.ts";
import "../oracle/fleetPromises.ts";
import { DEFAULT_FLEET, fleetShapes } from "../scenarios/fleetShapes.ts";
import { ScenarioWorld } from "../scenarios/scenarioWorld.ts";
import { fuzzCommands } from "./fuzzArbitraries.ts";
import type { FuzzModel } from "./fuzzCommand.ts";

/** Options of {@link fuzzFleet}. */
export interface FuzzOptions {
    /** Seed of the first run. */
    readonly seed: number;
    /** Runs to make. */
    readonly runs: number;
    /** Whether a failing run is made smaller. */
    readonly shrinks?: boolean;
    /** Name of the fleet. */
    readonly fleet?: string;
    /** Whether to draw only what operators plan, no faults. */
    readonly isPlannedOnly?: boolean;
    /** Promises to judge by; all by default. */
    readonly promises?: readonly string[];
}

/** Outcome of fuzzing. */
export interface FuzzReport {
    /** Seed of the first run. */
    readonly seed: number;
    /** Runs made, without those that made a failing run smaller. */
    readonly runs: number;
    /** Runs that made a failing run smaller. */
    readonly shrinkRuns: number;
    /** Commands executed in all runs. */
    readonly commands: number;
    /** Violations of the smallest failing run. */
    readonly violations: readonly Violation[];
    /** Smallest failing run as a scenario file; undefined when all runs passed. */
    readonly replay: string | undefined;
}

interface FailingRun {
    readonly violations: readonly Violation[];
    readonly replay: string;
}

/** Time at the start in which the fleet gets its configuration, in milliseconds. */
const WARM_UP_MS = 2_000;
/** Longest time at the end in which all requests reach their deadline, in milliseconds. */
const MAX_SETTLE_MS = 90_000;
/** Time after the last request has ended, for decisions and late answers to spread, in milliseconds. */
const QUIET_MS = 8_000;
const MAX_REPLAY_VIOLATIONS = 5;

const describeRun = (
    fleet: string,
    seed: number,
    model: FuzzModel,
    violations: readonly Violation[],
): string =>
    [
        ...violations.slice(0, MAX_REPLAY_VIOLATIONS).map(({ promise, message }) =>
            `# ${promise}: ${message}`
        ),
        `fleet ${fleet}`,
        `seed ${seed}`,
        ...model.lines,
        "",
    ].join("\n");

/** Runs until all requests have ended, and a while longer. */
const settle = async (world: ScenarioWorld): Promise<void> => {
    const limitMs = Math.ceil(world.nowMs) + MAX_SETTLE_MS;
    await world.fleet.clock.runUntil(Math.ceil(world.nowMs) + QUIET_MS);
    while (world.nowMs < limitMs && world.callers.hasOpenTries) {
        await world.fleet.clock.advance(QUIET_MS);
    }
};

/** Runs one list of commands and judges it. */
class FuzzRunner {
    public commands = 0;
    public executedRuns = 0;
    public failing: FailingRun | undefined;

    public constructor(
        private readonly fleet: string,
        private readonly seed: number,
        private readonly promises: readonly string[] | undefined,
    ) {}

    public async run(commands: Iterable<fc.AsyncCommand<FuzzModel, ScenarioWorld>>): Promise<boolean> {
        const { fleet, seed } = this;
        const world = await ScenarioWorld.start({ shape: shapeOf(fleet), seed });
        const model: FuzzModel = { lines: [], requests: [] };
        await world.fleet.clock.runUntil(WARM_UP_MS);
        await fc.asyncModelRun(() => ({ model, real: world }), commands);
        await settle(world);
        model.lines.push(`run for ${world.nowMs} ms`);
        this.executedRuns++;
        this.commands += model.lines.length - 1;
        const violations = checkPromises(world.observe())
            .filter(({ promise }) => this.promises?.includes(promise) ?? true);
        if (violations.length > 0) {
            this.failing = { violations, replay: describeRun(fleet, seed, model, violations) };
        }
        return violations.length === 0;
    }
}

const shapeOf = (fleet: string) => {
    const shape = fleetShapes[fleet];
    if (!shape) {
        throw new RangeError(
            `no fleet is named "${fleet}": use one of ${Object.keys(fleetShapes).join(", ")}`,
        );
    }
    return shape;
};

/**
 * Fuzzes a fleet until a promise is violated or all runs are made.
 *
 * @param options - seed and number of runs
 * @returns what was found
 */
export const fuzzFleet = async (options: FuzzOptions): Promise<FuzzReport> => {
    const fleet = options.fleet ?? DEFAULT_FLEET;
    const runner = new FuzzRunner(fleet, options.seed, options.promises);
    const property = fc.asyncProperty(
        fuzzCommands(fleet, shapeOf(fleet), options.isPlannedOnly ?? false),
        commands => runner.run(commands),
    );
    const outcome = await fc.check(property, {
        seed: options.seed,
        numRuns: options.runs,
        endOnFailure: !(options.shrinks ?? true),
    });
    if (outcome.errorInstance && !runner.failing) {
        throw outcome.errorInstance;
    }
    return {
        seed: options.seed,
        runs: outcome.numRuns,
        shrinkRuns: runner.executedRuns - outcome.numRuns,
        commands: runner.commands,
        violations: runner.failing?.violations ?? [],
        replay: runner.failing?.replay,
    };
};
