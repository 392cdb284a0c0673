/**
 * Commands of the fuzzer. Each is one step of the scenario language, so that a run prints as a scenario file.
 *
 * @packageDocumentation
 */

import { formatFinding } from "@magnolialock/kernel";
import type { AsyncCommand } from "fast-check";
import { parseScenario } from "../scenarios/parseScenario.ts";
import type { ScenarioStep } from "../scenarios/scenario.ts";
import type { ScenarioWorld } from "../scenarios/scenarioWorld.ts";

/** What the fuzzer knows of a run: the steps so far, as lines of a scenario file. */
export interface FuzzModel {
    /** Lines of the file. */
    readonly lines: string[];
    /** Identifiers of requests that were sent. */
    readonly requests: string[];
}

/** Steps that are taken at one time, and the time since the steps before. */
export interface FuzzStep {
    /** Time since the steps before, in milliseconds. */
    readonly delayMs: number;
    /** Texts of the steps, without a time. `<new request>` and `<old request>` stand for names. */
    readonly texts: readonly string[];
}

const NEW_REQUEST = "<new request>";
const OLD_REQUEST = "<old request>";

const parseStep = (fleet: string, text: string): ScenarioStep => {
    const parsed = parseScenario(`fleet ${fleet}\n${text}\n`, "fuzz");
    const [step] = parsed.kind === "accepted" ? parsed.scenario.steps : [];
    if (!step) {
        throw new SyntaxError(
            parsed.kind === "rejected" ? parsed.findings.map(formatFinding).join("\n") : text,
        );
    }
    return step;
};

const fillNames = (model: FuzzModel, pattern: string): string => {
    if (pattern.includes(NEW_REQUEST)) {
        model.requests.push(`request-${model.requests.length + 1}`);
    }
    const newest = model.requests.at(-1) ?? "";
    return pattern.replace(NEW_REQUEST, newest).replace(OLD_REQUEST, newest);
};

/** One command of the model-based run. */
export class FuzzCommand implements AsyncCommand<FuzzModel, ScenarioWorld> {
    /**
     * @param fleet - name of the fleet
     * @param step - step and delay
     */
    public constructor(private readonly fleet: string, private readonly step: FuzzStep) {}

    /** Whether the command makes sense now: retries need a request. */
    public check(model: Readonly<FuzzModel>): boolean {
        return model.requests.length > 0 || !this.step.texts.some(text => text.includes(OLD_REQUEST));
    }

    /**
     * Advances the time and takes the steps.
     *
     * @param model - steps so far
     * @param world - the fleet
     */
    public async run(model: FuzzModel, world: ScenarioWorld): Promise<void> {
        const atMs = Math.round(world.nowMs) + this.step.delayMs;
        await world.fleet.clock.runUntil(atMs);
        for (const pattern of this.step.texts) {
            const text = fillNames(model, pattern);
            model.lines.push(`at ${atMs} ms ${text}`);
            const { step, args } = parseStep(this.fleet, text);
            if (step.effect.kind === "action") {
                await step.effect.run(world, args as never);
            }
        }
    }

    /** The steps as they are printed in reports. */
    public toString(): string {
        return `after ${this.step.delayMs} ms ${this.step.texts.join(", ")}`;
    }
}
