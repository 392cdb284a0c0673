/**
 * Commands of the fuzzer. They consist of steps of the scenario language, so that a run can be printed as a
 * scenario file.
 *
 * @packageDocumentation
 */

import { formatFinding } from "@magnolialock/kernel";
import type { AsyncCommand } from "fast-check";
import { parseScenario } from "../scenarios/parseScenario.ts";
import type { ScenarioStep } from "../scenarios/scenario.ts";
import type { ScenarioWorld } from "../scenarios/scenarioWorld.ts";

/** Model of a run: the steps so far, as lines of a scenario file, and the requests sent. */
export interface FuzzModel {
    /** Lines of the scenario file. */
    readonly lines: string[];
    /** Identifiers of the requests sent so far. */
    readonly requests: string[];
}

/** Steps that run at the same time, after a delay. */
export interface FuzzStep {
    /** Time since the previous steps, in milliseconds. */
    readonly delayMs: number;
    /**
     * Texts of the steps, without a time. `<new request>` stands for the identifier of a request not yet
     * sent, `<old request>` for that of the latest request sent.
     */
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

const substituteRequestIds = (model: FuzzModel, pattern: string): string => {
    if (pattern.includes(NEW_REQUEST)) {
        model.requests.push(`request-${model.requests.length + 1}`);
    }
    const latest = model.requests.at(-1) ?? "";
    return pattern.replace(NEW_REQUEST, latest).replace(OLD_REQUEST, latest);
};

/** Command of a model-based run. */
export class FuzzCommand implements AsyncCommand<FuzzModel, ScenarioWorld> {
    /**
     * @param fleet - name of the fleet
     * @param step - steps and their delay
     */
    public constructor(private readonly fleet: string, private readonly step: FuzzStep) {}

    /** Whether the command is applicable: steps that refer to an earlier request need one. */
    public check(model: Readonly<FuzzModel>): boolean {
        return model.requests.length > 0 || !this.step.texts.some(text => text.includes(OLD_REQUEST));
    }

    /**
     * Advances the clock and runs the steps.
     *
     * @param model - model of the run; the steps are added to it
     * @param world - fleet that the steps act on
     */
    public async run(model: FuzzModel, world: ScenarioWorld): Promise<void> {
        const atMs = Math.round(world.nowMs) + this.step.delayMs;
        await world.fleet.clock.runUntil(atMs);
        for (const pattern of this.step.texts) {
            const text = substituteRequestIds(model, pattern);
            model.lines.push(`at ${atMs} ms ${text}`);
            const { step, args } = parseStep(this.fleet, text);
            if (step.effect.kind === "action") {
                await step.effect.run(world, args as never);
            }
        }
    }

    /** Text of the steps for fast-check's reports. */
    public toString(): string {
        return `after ${this.step.delayMs} ms ${this.step.texts.join(", ")}`;
    }
}
