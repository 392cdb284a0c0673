/**
 * Steps of the scenario language. Each step is a plug-in that registers itself when its module loads.
 *
 * @packageDocumentation
 */

import { type Plugin, PluginRegistry } from "@magnolialock/kernel";
import type { ScenarioSettings } from "./scenarioSettings.ts";
import type { ScenarioWorld } from "./scenarioWorld.ts";
import { describeSlot, type StepArguments } from "./slots.ts";

/** What a step does. */
export type StepEffect<A> =
    | {
        /** Changes the settings before the fleet starts. */
        readonly kind: "setting";
        readonly apply: (settings: ScenarioSettings, args: A) => void;
    }
    | {
        /** Does something to the fleet. */
        readonly kind: "action";
        readonly run: (world: ScenarioWorld, args: A) => void | Promise<void>;
    }
    | {
        /** Looks at what happened; without a time it looks at the end. */
        readonly kind: "expectation";
        readonly check: (world: ScenarioWorld, args: A) => readonly string[];
    };

/** A step plug-in. */
export interface Step extends Plugin {
    /** Words of the step, with slots, as `pause entry <entry> for <durationMs>`; also its name. */
    readonly name: string;
    /** One sentence for the reference page. */
    readonly description: string;
    /** What it does. */
    readonly effect: StepEffect<never>;
}

/** All steps. */
export const steps = new PluginRegistry<Step>("scenario step");

/**
 * Registers a step.
 *
 * @param pattern - words of the step, with slots
 * @param description - one sentence for the reference page
 * @param effect - what it does; its arguments are named after the slots
 * @returns the step
 */
export const defineStep = <const P extends string>(
    pattern: P,
    description: string,
    effect: StepEffect<StepArguments<P>>,
): Step => steps.register({ name: pattern, description, effect: effect as StepEffect<never> });

/**
 * Writes a step's pattern as people read it.
 *
 * @param step - the step
 * @returns for example `pause entry <entry> for <time>`
 */
export const describePattern = (step: Step): string =>
    step.name.replaceAll(/<(\w+)>/g, (_, slot: string) => `<${describeSlot(slot)}>`);
