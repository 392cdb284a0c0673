/**
 * Runs scenarios on virtual fleets.
 *
 * @packageDocumentation
 */

import type { EventSink, Finding } from "@magnolialock/kernel";
import "../oracle/answerPromises.ts";
import "../oracle/fleetPromises.ts";
import { checkPromises } from "../oracle/promise.ts";
import { DEFAULT_FLEET, fleetShapes } from "./fleetShapes.ts";
import type { Scenario, ScenarioStep } from "./scenario.ts";
import { ScenarioWorld } from "./scenarioWorld.ts";

/** Result of a scenario. */
export interface ScenarioReport {
    /** Name of the scenario file. */
    readonly source: string;
    /** Seed of the run. */
    readonly seed: number;
    /** Length of the run, in milliseconds of virtual time. */
    readonly durationMs: number;
    /** Number of requests sent, each retry counted. */
    readonly tries: number;
    /** Number of these that were answered completely. */
    readonly answered: number;
    /** Expectations that failed and promises that were violated. */
    readonly findings: readonly Finding[];
}

/** Options of {@link runScenario}. */
export interface RunScenarioOptions {
    /** Seed that overrides the one in the file. */
    readonly seed?: number | undefined;
    /** Sinks for the events of all processes. */
    readonly sinks?: readonly EventSink[];
}

/** Time that a scenario without a set length continues after its last step, in milliseconds. */
const DEFAULT_TAIL_MS = 10_000;

const checkExpectation = (world: ScenarioWorld, source: string, step: ScenarioStep): Finding[] =>
    step.step.effect.kind === "expectation"
        ? step.step.effect.check(world, step.args as never)
            .map(message => ({ source, line: step.line, column: 1, message: `${step.text}: ${message}` }))
        : [];

const isTimed = (step: ScenarioStep): step is ScenarioStep & { readonly atMs: number; } =>
    step.atMs !== undefined;

const runTimedSteps = async (world: ScenarioWorld, scenario: Scenario): Promise<Finding[]> => {
    const findings: Finding[] = [];
    const timed = scenario.steps.filter(isTimed).sort((left, right) => left.atMs - right.atMs);
    for (const step of timed) {
        await world.fleet.clock.runUntil(step.atMs);
        if (step.step.effect.kind === "action") {
            await step.step.effect.run(world, step.args as never);
        }
        findings.push(...checkExpectation(world, scenario.source, step));
    }
    return findings;
};

/**
 * Runs a scenario to its end and checks its expectations and all promises.
 *
 * @param scenario - the scenario
 * @param options - seed and event sinks
 * @returns size of the run, failed expectations and violated promises
 * @throws RangeError if neither the fleet in the settings nor the default fleet exists
 */
export const runScenario = async (
    scenario: Scenario,
    options: RunScenarioOptions = {},
): Promise<ScenarioReport> => {
    const { settings, source } = scenario;
    const seed = options.seed ?? settings.seed;
    const shape = fleetShapes[settings.fleet] ?? fleetShapes[DEFAULT_FLEET];
    if (!shape) {
        throw new RangeError(`no fleet is named "${settings.fleet}"`);
    }
    const world = await ScenarioWorld.start({ shape, seed, sinks: options.sinks });
    const findings = await runTimedSteps(world, scenario);
    await world.fleet.clock.runUntil(
        Math.max(world.nowMs, settings.durationMs ?? world.nowMs + DEFAULT_TAIL_MS),
    );
    for (const step of scenario.steps.filter(candidate => !isTimed(candidate))) {
        findings.push(...checkExpectation(world, source, step));
    }
    const violations = checkPromises(world.observe());
    const { tries } = world.callers;
    return {
        source,
        seed,
        durationMs: world.nowMs,
        tries: tries.length,
        answered: tries.filter(attempt => attempt.events.at(-1)?.kind === "end").length,
        findings: [
            ...findings,
            ...violations.map(({ promise, message }) => ({
                source,
                message: `promise ${promise}: ${message}`,
            })),
        ],
    };
};
