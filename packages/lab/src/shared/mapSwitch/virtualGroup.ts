/**
 * Group of ranks on the in-process network: the agents' product tasks with stand-in engines in lockstep.
 *
 * @packageDocumentation
 */

import { type Address, branded, type RandomSource, type Timer } from "@magnolialock/kernel";
import { createGroupTask, type EncodedMap, type GroupTask, type MapRoundResult } from "@magnolialock/maps";
import {
    createVirtualRuntime,
    LinkTable,
    VirtualClock,
    VirtualNetwork,
    type VirtualRuntime,
} from "@magnolialock/test-support";
import { SimulatedLockstep } from "../standIns/simulatedLockstep.ts";
import { SimulatedRankEngine } from "../standIns/simulatedRankEngine.ts";

/** Options of {@link VirtualGroup}. */
export interface VirtualGroupOptions {
    /** Number of ranks. */
    readonly ranks: number;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Initial map of the group. */
    readonly initialMap: EncodedMap;
    /** Whether engines refuse orders with an old fencing token; false by default. */
    readonly honoursFencing?: boolean;
    /** Duration of a step, in milliseconds. */
    readonly stepMs?: number;
}

interface RankProcess {
    readonly runtime: VirtualRuntime;
    readonly task: GroupTask;
}

const DEFAULT_STEP_MS = 60;
const MAX_ENGINE_DELAY_MS = 1;

/** The group, with methods that inject failures. */
export class VirtualGroup {
    /** Clock of the group. */
    public readonly clock = new VirtualClock();
    /** Links between the agents. */
    public readonly links: LinkTable;
    /** Lockstep of the ranks; counts the steps with mixed maps. */
    public readonly lockStep: SimulatedLockstep;
    /** Engines by rank. */
    public readonly engines: readonly SimulatedRankEngine[];
    private readonly options: VirtualGroupOptions;
    private readonly network: VirtualNetwork;
    private readonly addresses: readonly Address[];
    private readonly processes: RankProcess[] = [];
    private readonly incarnations: number[];
    private stepTimer: Timer | undefined;

    private constructor(options: VirtualGroupOptions) {
        const { ranks, random, honoursFencing = false } = options;
        this.options = options;
        this.links = new LinkTable({ random: random.fork("links") });
        this.network = new VirtualNetwork({ clock: this.clock, links: this.links });
        this.addresses = Array.from(
            { length: ranks },
            (_, rank) => branded<Address>(`10.0.${rank >> 8}.${(rank & 255) + 1}:7000`),
        );
        this.incarnations = this.addresses.map(() => 0);
        const bootMap = { epoch: 0, fromStep: 0, map: options.initialMap };
        this.engines = this.addresses.map((_, rank) =>
            new SimulatedRankEngine({
                rank,
                honoursFencing,
                fallbackMap: bootMap,
                beforeOrder: () => this.delayOrder(rank),
            })
        );
        this.lockStep = new SimulatedLockstep(this.engines);
    }

    /**
     * Starts all agents and the lockstep.
     *
     * @param options - size, source of random numbers and initial map
     * @returns the group, before its first step
     */
    public static async start(options: VirtualGroupOptions): Promise<VirtualGroup> {
        const group = new VirtualGroup(options);
        for (let rank = 0; rank < options.ranks; rank++) {
            await group.startAgent(rank);
        }
        group.scheduleStep();
        return group;
    }

    /**
     * Gets the task of a rank's agent.
     *
     * @param rank - index of the rank
     * @returns the task of the present incarnation
     */
    public taskOf(rank: number): GroupTask {
        return this.processes[rank]!.task;
    }

    /**
     * Gets the runtime of a rank's agent.
     *
     * @param rank - index of the rank
     * @returns the runtime of the present incarnation
     */
    public runtimeOf(rank: number): VirtualRuntime {
        return this.processes[rank]!.runtime;
    }

    /**
     * Proposes a map and runs the group until the round ends.
     *
     * @param rank - index of the rank that proposes
     * @param map - proposed map
     * @param limitMs - longest virtual time, in milliseconds
     * @returns outcome of the round
     */
    public propose(rank: number, map: EncodedMap, limitMs: number): Promise<MapRoundResult> {
        return this.clock.runUntilSettled(this.taskOf(rank).propose(map, "test"), limitMs);
    }

    /**
     * Kills a rank's agent and starts its next incarnation.
     *
     * @param rank - index of the rank
     */
    public async restartAgent(rank: number): Promise<void> {
        this.network.kill(this.runtimeOf(rank).endpoint);
        await this.startAgent(rank);
    }

    /**
     * Runs until the group has completed a number of further steps.
     *
     * @param steps - number of steps
     * @param limitMs - longest virtual time, in milliseconds
     * @returns elapsed virtual time in milliseconds, or undefined when the steps were not completed in time
     */
    public async runSteps(steps: number, limitMs: number): Promise<number | undefined> {
        const startMs = this.clock.nowMs();
        const target = this.lockStep.completedSteps + steps;
        while (this.lockStep.completedSteps < target) {
            if (this.clock.nowMs() - startMs > limitMs) {
                return undefined;
            }
            await this.clock.advance(this.options.stepMs ?? DEFAULT_STEP_MS);
        }
        return this.clock.nowMs() - startMs;
    }

    /** Stops the lockstep and all agents. */
    public async stop(): Promise<void> {
        this.stepTimer?.cancel();
        for (const { runtime } of this.processes) {
            this.network.kill(runtime.endpoint);
        }
    }

    private async startAgent(rank: number): Promise<void> {
        const { random, initialMap } = this.options;
        const incarnation = ++this.incarnations[rank]!;
        const runtime = createVirtualRuntime({
            name: `rank-${rank}`,
            dataCentre: "recife",
            network: this.network,
            random: random.fork(`life ${incarnation}`),
        });
        const task = createGroupTask({
            runtime,
            rank,
            addresses: this.addresses,
            incarnation: `${rank}.${incarnation}`,
            engine: this.engines[rank]!,
            initialMap,
        });
        this.processes[rank] = { runtime, task };
        await runtime.network.listen(this.addresses[rank]!, [task.service]);
        task.start();
    }

    private scheduleStep(): void {
        this.stepTimer = this.clock.setTimer(this.options.stepMs ?? DEFAULT_STEP_MS, () => {
            this.lockStep.runStep();
            this.scheduleStep();
        });
    }

    private delayOrder(rank: number): Promise<void> {
        const { runtime } = this.processes[rank]!;
        const delayMs = runtime.random.nextFloat() * MAX_ENGINE_DELAY_MS;
        return new Promise(resolve => runtime.clock.setTimer(delayMs, resolve));
    }
}
