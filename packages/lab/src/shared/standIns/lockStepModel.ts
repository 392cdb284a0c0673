/**
 * Stand-in of the lock-step between the ranks of a group.
 *
 * @packageDocumentation
 */

import type { RankEngineModel } from "./rankEngineModel.ts";

/** Ranks that end each step together. */
export class LockStepModel {
    /** Steps that ended. */
    public completedSteps = 0;
    /** Steps that ended although their ranks ran different maps. */
    public mixedMapSteps = 0;
    /** Map of each step that ended. */
    public readonly mapOfStep = new Map<number, string>();

    /** @param engines - all ranks */
    public constructor(private readonly engines: readonly RankEngineModel[]) {}

    /** Starts the step of every rank that can, and ends it when all have started. */
    public runStep(): void {
        for (const engine of this.engines) {
            engine.startStep();
        }
        this.completeIfStarted();
    }

    /**
     * Ends the step when all ranks have started it.
     *
     * @returns whether the step ended
     */
    public completeIfStarted(): boolean {
        if (!this.engines.every(engine => engine.hasStarted)) {
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
