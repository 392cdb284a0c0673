/**
 * Stand-in of the engine of one rank, and of the lock-step between the ranks.
 *
 * @packageDocumentation
 */

import type { ArmedActivation, MapActivation, RankEngine, RankEngineStatus } from "@magnolialock/maps";

/** Options of a {@link RankEngineModel}. */
export interface RankEngineOptions {
    /** Rank of the engine. */
    readonly rank: number;
    /** Whether the engine refuses orders with an old fencing number. */
    readonly honoursFencing: boolean;
    /** Map that an engine which ignores fencing falls back to when it is released without one. */
    readonly bootMap: MapActivation;
    /** Called before each order and answer; delays them. */
    readonly beforeOrder?: () => Promise<void>;
}

/** Engine of one rank. */
export class RankEngineModel implements RankEngine {
    /** Rank of the engine. */
    public readonly rank: number;
    private readonly options: RankEngineOptions;
    private life = 1;
    private step = 0;
    private isStarted = false;
    private inForce: MapActivation | undefined;
    private armed: ArmedActivation | undefined;
    private fence = 0;

    /** @param options - rank and how it treats fencing numbers */
    public constructor(options: RankEngineOptions) {
        this.rank = options.rank;
        this.options = options;
    }

    /** Step that it is in or waits to start. */
    public get currentStep(): number {
        return this.step;
    }

    /** Whether it has started its step. */
    public get hasStarted(): boolean {
        return this.isStarted;
    }

    /** Map of the step that it has started. */
    public get runningMap(): MapActivation | undefined {
        return this.isStarted ? this.inForce : undefined;
    }

    /** Whether it stands before the first step of a map that is not released. */
    public get isHeld(): boolean {
        return this.armed !== undefined && !this.armed.isReleased && this.step >= this.armed.fromStep;
    }

    /** Epoch of the map that it holds before its first step. */
    public get armedEpoch(): number | undefined {
        return this.armed?.epoch;
    }

    /** Whether it has a map; a restarted engine has none. */
    public get hasMap(): boolean {
        return this.inForce !== undefined;
    }

    /** Describes its state, for a search. */
    public describe(): string {
        const { life, step, isStarted, inForce, armed } = this;
        const armedText = armed && `${armed.epoch}:${armed.map.id}@${armed.fromStep}${armed.isReleased}`;
        return [life, step, isStarted, inForce?.epoch, inForce?.map.id, armedText, this.fence].join("/");
    }

    /** Whether it can start its step. */
    public get canStart(): boolean {
        return this.inForce !== undefined && !this.isStarted && !this.isHeld;
    }

    /** Starts the step, on the armed map if its first step has come. */
    public startStep(): void {
        if (!this.canStart) {
            return;
        }
        if (this.armed && this.step >= this.armed.fromStep) {
            this.inForce = this.armed;
            this.armed = undefined;
        }
        this.isStarted = true;
    }

    /** Ends the step; the lock-step calls this when all ranks have started it. */
    public completeStep(): void {
        this.step++;
        this.isStarted = false;
    }

    /** Restarts the engine: it forgets everything. */
    public restart(): void {
        this.life++;
        this.step = 0;
        this.isStarted = false;
        this.inForce = undefined;
        this.armed = undefined;
        this.fence = 0;
    }

    /** {@inheritDoc RankEngine.status} */
    public async status(): Promise<RankEngineStatus> {
        await this.options.beforeOrder?.();
        return {
            incarnation: `${this.rank}-${this.life}`,
            step: this.step,
            isStarted: this.isStarted,
            inForce: this.inForce,
            armed: this.armed,
        };
    }

    /** {@inheritDoc RankEngine.install} */
    public install(activation: MapActivation, step: number, fence: number): Promise<void> {
        return this.order(fence, () => {
            this.inForce = activation;
            this.step = step;
        });
    }

    /** {@inheritDoc RankEngine.arm} */
    public arm(activation: MapActivation, fence: number): Promise<void> {
        return this.order(fence, () => {
            const isTooLate = this.inForce && (this.step > activation.fromStep
                || (this.step === activation.fromStep && this.isStarted));
            if (!isTooLate) {
                this.armed = { ...activation, isReleased: false };
            }
        });
    }

    /** {@inheritDoc RankEngine.release} */
    public release(fence: number): Promise<void> {
        return this.order(fence, () => {
            if (this.armed) {
                this.armed = { ...this.armed, isReleased: true };
            }
            else if (!this.inForce && !this.options.honoursFencing) {
                this.inForce = this.options.bootMap;
            }
        });
    }

    /** {@inheritDoc RankEngine.disarm} */
    public disarm(fence: number): Promise<void> {
        return this.order(fence, () => {
            this.armed = undefined;
        });
    }

    private async order(fence: number, action: () => void): Promise<void> {
        await this.options.beforeOrder?.();
        if (this.options.honoursFencing && fence < this.fence) {
            return;
        }
        this.fence = fence;
        action();
    }
}
