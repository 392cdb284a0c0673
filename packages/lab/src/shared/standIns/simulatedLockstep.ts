/**
 * Simulated lockstep of the ranks of a group.
 *
 * @packageDocumentation
 */

import type { SimulatedRankEngine } from "./simulatedRankEngine.ts";

/** Ranks that complete each step together. */
export class SimulatedLockstep {
    /** Number of completed steps. */
    public completedSteps = 0;
    /** Number of steps that completed with ranks on different maps or at different steps. */
    public mixedMapSteps = 0;
    /** Identifier of the map by completed step; several identifiers are joined with `+`. */
    public readonly mapOfStep = new Map<number, string>();

    /** @param engines - engines of all ranks of the group */
    public constructor(private readonly engines: readonly SimulatedRankEngine[]) {}

    /** Starts the step on every rank that can start, and completes it if all ranks have started. */
    public runStep(): void {
        for (const engine of this.engines) {
            engine.startStep();
        }
        this.completeIfAllStarted();
    }

    /**
     * Completes the step if all ranks have started it.
     *
     * @returns whether the step was completed
     */
    public completeIfAllStarted(): boolean {
        if (!this.engines.every(engine => engine.hasStartedStep)) {
            return false;
        }
        const maps = new Set(this.engines.map(engine => engine.runningMap?.map.id));
        const steps = new Set(this.engines.map(engine => engine.currentStep));
        if (maps.size > 1 || steps.size > 1) {
            this.mixedMapSteps++;
        }
        this.completedSteps++;
        this.mapOfStep.set(this.engines[0]!.currentStep, [...maps].join("+"));
        for (const engine of this.engines) {
            engine.completeStep();
        }
        return true;
    }
}
