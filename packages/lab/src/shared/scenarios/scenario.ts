/**
 * A scenario, ready to run.
 *
 * @packageDocumentation
 */

import type { ScenarioSettings } from "./scenarioSettings.ts";
import type { Step } from "./step.ts";

/** One step of a scenario. */
export interface ScenarioStep {
    /** Its plug-in. */
    readonly step: Step;
    /** Values of its slots. */
    readonly args: Readonly<Record<string, string | number>>;
    /** When it happens, in milliseconds; undefined for expectations at the end. */
    readonly atMs: number | undefined;
    /** Line in the file, from 1. */
    readonly line: number;
    /** Text of the line. */
    readonly text: string;
}

/** A scenario. */
export interface Scenario {
    /** Name of the file. */
    readonly source: string;
    /** Settings of the run. */
    readonly settings: ScenarioSettings;
    /** Steps in the order of the file. */
    readonly steps: readonly ScenarioStep[];
}
