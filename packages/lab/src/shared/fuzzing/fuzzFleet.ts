/**
 * Stateful fuzzing of a virtual fleet, checked by the oracle.
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
    /** Number of runs. */
    readonly runs: number;
    /** Whether a failing run is shrunk; true by default. */
    readonly shrinks?: boolean;
    /** Name of the fleet; the default fleet of scenarios by default. */
    readonly fleet?: string;
    /** Whether to generate only requests and planned operator actions, no faults; false by default. */
    readonly isPlannedOnly?: boolean;
    /** Names of the promises to check; all by default. */
    readonly promises?: readonly string[];
}

/** Result of fuzzing. */
export interface FuzzReport {
    /** Seed of the first run. */
    readonly seed: number;
    /** Number of runs, without those for shrinking. */
    readonly runs: number;
    /** Number of runs for shrinking. */
    readonly shrinkRuns: number;
    /** Number of commands executed in all runs. */
    readonly commands: number;
    /** Violations found in the smallest failing run. */
    readonly violations: readonly Violation[];
    /** Smallest failing run as a scenario file; undefined when all runs passed. */
    readonly replay: string | undefined;
}

interface FailingRun {
    readonly violations: readonly Violation[];
    readonly replay: string;
}

/** Time at the start in which the fleet receives its configuration, in milliseconds. */
const WARM_UP_MS = 2_000;
/** Longest wait at the end of a run for all requests to reach their deadline, in milliseconds. */
const MAX_DRAIN_WAIT_MS = 90_000;
/**
 * Wait at the end of a run for decisions and late answers to propagate, and interval between checks for open
 * requests, in milliseconds.
 */
const PROPAGATION_WAIT_MS = 8_000;
const MAX_REPLAY_VIOLATIONS = 5;

const formatReplay = (
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

/** Runs until decisions have propagated and all requests have ended, or the longest wait is over. */
const waitForOpenRequests = async (world: ScenarioWorld): Promise<void> => {
    const limitMs = Math.ceil(world.nowMs) + MAX_DRAIN_WAIT_MS;
    await world.fleet.clock.runUntil(Math.ceil(world.nowMs) + PROPAGATION_WAIT_MS);
    while (world.nowMs < limitMs && world.callers.hasOpenTries) {
        await world.fleet.clock.advance(PROPAGATION_WAIT_MS);
    }
};

/** Runs sequences of commands and checks the promises after each. */
class FuzzRunner {
    public commands = 0;
    public executedRuns = 0;
    public failingRun: FailingRun | undefined;

    public constructor(
        private readonly fleet: string,
        private readonly seed: number,
        private readonly promises: readonly string[] | undefined,
    ) {}

    public async run(commands: Iterable<fc.AsyncCommand<FuzzModel, ScenarioWorld>>): Promise<boolean> {
        const { fleet, seed } = this;
        const world = await ScenarioWorld.start({ shape: fleetShapeNamed(fleet), seed });
        const model: FuzzModel = { lines: [], requests: [] };
        await world.fleet.clock.runUntil(WARM_UP_MS);
        await fc.asyncModelRun(() => ({ model, real: world }), commands);
        await waitForOpenRequests(world);
        model.lines.push(`run for ${world.nowMs} ms`);
        this.executedRuns++;
        this.commands += model.lines.length - 1;
        const violations = checkPromises(world.observe())
            .filter(({ promise }) => this.promises?.includes(promise) ?? true);
        if (violations.length > 0) {
            this.failingRun = { violations, replay: formatReplay(fleet, seed, model, violations) };
        }
        return violations.length === 0;
    }
}

const fleetShapeNamed = (fleet: string) => {
    const shape = fleetShapes[fleet];
    if (!shape) {
        throw new RangeError(
            `no fleet is named "${fleet}": use one of ${Object.keys(fleetShapes).join(", ")}`,
        );
    }
    return shape;
};

/**
 * Fuzzes a fleet until a promise is violated or all runs are done.
 *
 * @param options - seed, number of runs, fleet and promises
 * @returns counts, and the smallest failing run if there is one
 * @throws RangeError when no fleet has the name
 */
export const fuzzFleet = async (options: FuzzOptions): Promise<FuzzReport> => {
    const fleet = options.fleet ?? DEFAULT_FLEET;
    const runner = new FuzzRunner(fleet, options.seed, options.promises);
    const property = fc.asyncProperty(
        fuzzCommands(fleet, fleetShapeNamed(fleet), options.isPlannedOnly ?? false),
        commands => runner.run(commands),
    );
    const outcome = await fc.check(property, {
        seed: options.seed,
        numRuns: options.runs,
        endOnFailure: !(options.shrinks ?? true),
    });
    if (outcome.errorInstance && !runner.failingRun) {
        throw outcome.errorInstance;
    }
    return {
        seed: options.seed,
        runs: outcome.numRuns,
        shrinkRuns: runner.executedRuns - outcome.numRuns,
        commands: runner.commands,
        violations: runner.failingRun?.violations ?? [],
        replay: runner.failingRun?.replay,
    };
};
