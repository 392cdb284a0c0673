/**
 * A parsed scenario.
 *
 * @packageDocumentation
 */

import type { ScenarioSettings } from "./scenarioSettings.ts";
import type { Step } from "./step.ts";

/** A step of a scenario with its arguments and its time. */
export interface ScenarioStep {
    /** Plug-in that defines the step. */
    readonly step: Step;
    /** Argument values, by the name of the slot. */
    readonly args: Readonly<Record<string, string | number>>;
    /** Time in milliseconds since the start of the run; undefined for expectations at its end. */
    readonly atMs: number | undefined;
    /** Line number in the file, from 1. */
    readonly line: number;
    /** Text of the line. */
    readonly text: string;
}

/** A scenario that is ready to run. */
export interface Scenario {
    /** Name of the scenario file. */
    readonly source: string;
    /** Settings of the run. */
    readonly settings: ScenarioSettings;
    /** Actions and expectations, in the order of the file. */
    readonly steps: readonly ScenarioStep[];
}
