/**
 * Simulated engine of one rank.
 *
 * @packageDocumentation
 */

import type { ArmedActivation, MapActivation, RankEngine, RankEngineStatus } from "@magnolialock/maps";

/** Options of a {@link SimulatedRankEngine}. */
export interface SimulatedRankEngineOptions {
    /** Rank of the engine. */
    readonly rank: number;
    /** Whether the engine refuses orders with an outdated fencing token. */
    readonly honoursFencing: boolean;
    /** Map that an engine without fencing puts in force if it is released while it has no map. */
    readonly fallbackMap: MapActivation;
    /** Awaited before each order and each status read, to delay them. */
    readonly beforeOrder?: () => Promise<void>;
}

/** Simulated engine of one rank. */
export class SimulatedRankEngine implements RankEngine {
    /** Rank of the engine. */
    public readonly rank: number;
    private readonly options: SimulatedRankEngineOptions;
    private incarnationNumber = 1;
    private step = 0;
    private isStepStarted = false;
    private activeMap: MapActivation | undefined;
    private armedMap: ArmedActivation | undefined;
    /** Fencing token of the last executed order; only an engine that ignores fencing accepts a lower one. */
    private lastFence = 0;

    /** @param options - rank, and whether the engine checks fencing tokens */
    public constructor(options: SimulatedRankEngineOptions) {
        this.rank = options.rank;
        this.options = options;
    }

    /** Number of the step that the engine runs or waits to start. */
    public get currentStep(): number {
        return this.step;
    }

    /** Whether the current step has started. */
    public get hasStartedStep(): boolean {
        return this.isStepStarted;
    }

    /** Map of the started step; undefined between steps. */
    public get runningMap(): MapActivation | undefined {
        return this.isStepStarted ? this.activeMap : undefined;
    }

    /** Whether the engine waits before the first step of an armed map that has not been released. */
    public get isWaitingForRelease(): boolean {
        return this.armedMap !== undefined && !this.armedMap.isReleased
            && this.step >= this.armedMap.fromStep;
    }

    /** Epoch of the armed map; undefined without one. */
    public get armedEpoch(): number | undefined {
        return this.armedMap?.epoch;
    }

    /** Whether the engine has a map in force; it has none after a restart. */
    public get hasMap(): boolean {
        return this.activeMap !== undefined;
    }

    /** Serialises the engine's state, so that the state-space search recognises states it has visited. */
    public describe(): string {
        const { incarnationNumber, step, isStepStarted, activeMap, armedMap } = this;
        const armedText = armedMap
            && `${armedMap.epoch}:${armedMap.map.id}@${armedMap.fromStep}${armedMap.isReleased}`;
        return [
            incarnationNumber,
            step,
            isStepStarted,
            activeMap?.epoch,
            activeMap?.map.id,
            armedText,
            this.lastFence,
        ].join("/");
    }

    /** Whether the engine can start the current step. */
    public get canStart(): boolean {
        return this.activeMap !== undefined && !this.isStepStarted && !this.isWaitingForRelease;
    }

    /** Starts the step if possible, with the armed map if this is its first step. */
    public startStep(): void {
        if (!this.canStart) {
            return;
        }
        if (this.armedMap && this.step >= this.armedMap.fromStep) {
            this.activeMap = this.armedMap;
            this.armedMap = undefined;
        }
        this.isStepStarted = true;
    }

    /** Completes the step; called by the lockstep once all ranks have started it. */
    public completeStep(): void {
        this.step++;
        this.isStepStarted = false;
    }

    /** Restarts the engine, which loses its whole state. */
    public restart(): void {
        this.incarnationNumber++;
        this.step = 0;
        this.isStepStarted = false;
        this.activeMap = undefined;
        this.armedMap = undefined;
        this.lastFence = 0;
    }

    /** {@inheritDoc RankEngine.status} */
    public async status(): Promise<RankEngineStatus> {
        await this.options.beforeOrder?.();
        return {
            incarnation: `${this.rank}-${this.incarnationNumber}`,
            step: this.step,
            isStarted: this.isStepStarted,
            inForce: this.activeMap,
            armed: this.armedMap,
        };
    }

    /** {@inheritDoc RankEngine.install} */
    public install(activation: MapActivation, step: number, fence: number): Promise<void> {
        return this.executeOrder(fence, () => {
            this.activeMap = activation;
            this.step = step;
        });
    }

    /** {@inheritDoc RankEngine.arm} */
    public arm(activation: MapActivation, fence: number): Promise<void> {
        return this.executeOrder(fence, () => {
            const isTooLate = this.activeMap && (this.step > activation.fromStep
                || (this.step === activation.fromStep && this.isStepStarted));
            if (!isTooLate) {
                this.armedMap = { ...activation, isReleased: false };
            }
        });
    }

    /** {@inheritDoc RankEngine.release} */
    public release(fence: number): Promise<void> {
        return this.executeOrder(fence, () => {
            if (this.armedMap) {
                this.armedMap = { ...this.armedMap, isReleased: true };
            }
            else if (!this.activeMap && !this.options.honoursFencing) {
                this.activeMap = this.options.fallbackMap;
            }
        });
    }

    /** {@inheritDoc RankEngine.disarm} */
    public disarm(fence: number): Promise<void> {
        return this.executeOrder(fence, () => {
            this.armedMap = undefined;
        });
    }

    private async executeOrder(fence: number, action: () => void): Promise<void> {
        await this.options.beforeOrder?.();
        if (this.options.honoursFencing && fence < this.lastFence) {
            return;
        }
        this.lastFence = fence;
        action();
    }
}
