/**
 * Steps of the scenario language. Each step is a plug-in that registers itself when its module is loaded.
 *
 * @packageDocumentation
 */

import { type Plugin, PluginRegistry } from "@magnolialock/kernel";
import type { ScenarioSettings } from "./scenarioSettings.ts";
import type { ScenarioWorld } from "./scenarioWorld.ts";
import { describeSlot, type StepArguments } from "./slots.ts";

/** Effect of a step. */
export type StepEffect<A> =
    | {
        /** Changes the settings of the run before the fleet starts. */
        readonly kind: "setting";
        readonly apply: (settings: ScenarioSettings, args: A) => void;
    }
    | {
        /** Acts on the fleet: a request, a fault or an operator's action. */
        readonly kind: "action";
        readonly run: (world: ScenarioWorld, args: A) => void | Promise<void>;
    }
    | {
        /** Checks the observations at the time of the step, or at the end of the run if it has no time. */
        readonly kind: "expectation";
        readonly check: (world: ScenarioWorld, args: A) => readonly string[];
    };

/** A step plug-in. */
export interface Step extends Plugin {
    /** Pattern of the step: its words and slots, such as `pause entry <entry> for <durationMs>`. */
    readonly name: string;
    /** Description in one sentence, for the reference page. */
    readonly description: string;
    /** Effect of the step. */
    readonly effect: StepEffect<never>;
}

/** All steps. */
export const steps = new PluginRegistry<Step>("scenario step");

/**
 * Registers a step.
 *
 * @param pattern - words and slots of the step; also its name in the registry
 * @param description - description in one sentence, for the reference page
 * @param effect - effect of the step; its arguments have the names of the slots
 * @returns the registered step
 */
export const defineStep = <const P extends string>(
    pattern: P,
    description: string,
    effect: StepEffect<StepArguments<P>>,
): Step => steps.register({ name: pattern, description, effect: effect as StepEffect<never> });

/**
 * Formats the pattern of a step for people: each slot shows the kind of its value.
 *
 * @param step - the step
 * @returns the pattern, for example `pause entry <entry> for <time>`
 */
export const describePattern = (step: Step): string =>
    step.name.replaceAll(/<(\w+)>/g, (_, slot: string) => `<${describeSlot(slot)}>`);
