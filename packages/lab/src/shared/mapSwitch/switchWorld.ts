/**
 * A small group of ranks in which a search chooses everything that happens: deliveries, timeouts, crashes, steps.
 *
 * @packageDocumentation
 */

import { type Address, branded, contentHash, type ServiceBinding } from "@magnolialock/kernel";
import { createGroupTask, type EncodedMap, type GroupTask, type MapId } from "@magnolialock/maps";
import { LockStepModel } from "../standIns/lockStepModel.ts";
import { RankEngineModel } from "../standIns/rankEngineModel.ts";
import { ControlledProcess, type ControlledProcesses, type PendingAction } from "./controlledProcess.ts";

/** What may happen in one search. */
export interface SwitchBudget {
    /** Number of ranks. */
    readonly ranks: number;
    /** Ranks that propose a map, each once; the first proposes map 1, the second map 2. */
    readonly proposers: readonly number[];
    /** Calls that time out before their answer; their messages may still arrive. */
    readonly timeouts: number;
    /** Agents that crash and restart. */
    readonly agentCrashes: number;
    /** Engines that restart. */
    readonly engineCrashes: number;
    /** Times that a member asks the others or settles what is open. */
    readonly resolves: number;
    /** Steps that the group may complete. */
    readonly steps: number;
    /** Whether engines refuse old fencing numbers. */
    readonly honoursFencing: boolean;
}

/** Something that the search can choose. */
export interface Choice {
    /** Name that is the same in every order of choices. */
    readonly label: string;
    /** Makes it happen. */
    readonly run: () => void;
}

const mapNamed = (name: string): EncodedMap => ({
    id: branded<MapId>(name),
    bytes: new TextEncoder().encode(name),
});

/** Rounds after which a group that can talk must run again. */
const MAX_RECOVERY_ROUNDS = 6;
const INITIAL_MAP = mapNamed("map 0");
const BOOT_MAP = { epoch: 0, fromStep: 0, map: INITIAL_MAP };

/** Lets all promise callbacks run. */
const settleTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const isAnswer = (entry: string): boolean => entry.startsWith("!");

/** Sorts answers that arrive one after the other: a caller waits for all of them, so their order does not matter. */
const normalizeAnswers = (entries: readonly string[]): string[] => {
    const result: string[] = [];
    let answers: string[] = [];
    for (const entry of entries) {
        if (isAnswer(entry)) {
            answers.push(entry);
            continue;
        }
        result.push(...answers.sort(), entry);
        answers = [];
    }
    return [...result, ...answers.sort()];
};

/** The group, its processes and what is left of the budget. */
export class SwitchWorld implements ControlledProcesses {
    /** {@inheritDoc ControlledProcesses.pending} */
    public readonly pending = new Set<PendingAction>();
    /** Lock-step of the ranks; it counts mixed steps. */
    public readonly lockStep: LockStepModel;
    private readonly engines: RankEngineModel[];
    /** What each rank's round has heard since it began, and the state in which it heard it. */
    private readonly heard: string[][];
    private readonly addresses: Address[];
    private readonly lives: number[];
    private processes: ControlledProcess[] = [];
    private tasks: GroupTask[] = [];
    private readonly runningRounds: number[];
    private readonly left: { -readonly [Key in keyof SwitchBudget]: SwitchBudget[Key]; };

    private constructor(private readonly budget: SwitchBudget) {
        const ranks = Array.from({ length: budget.ranks }, (_, rank) => rank);
        const { honoursFencing } = budget;
        this.engines = ranks.map(rank => new RankEngineModel({ rank, honoursFencing, bootMap: BOOT_MAP }));
        this.lockStep = new LockStepModel(this.engines);
        this.heard = ranks.map(() => []);
        this.runningRounds = ranks.map(() => 0);
        this.addresses = ranks.map(rank => branded<Address>(`10.0.0.${rank + 1}:7000`));
        this.lives = ranks.map(() => 0);
        this.left = { ...budget };
        ranks.forEach(rank => this.startAgent(rank));
    }

    /**
     * Creates a group that runs on its first map.
     *
     * @param budget - size and what may happen
     * @returns the group
     */
    public static async create(budget: SwitchBudget): Promise<SwitchWorld> {
        const world = new SwitchWorld(budget);
        for (const engine of world.engines) {
            await engine.install(BOOT_MAP, 0, 0);
        }
        return world;
    }

    /** {@inheritDoc ControlledProcesses.answererAt} */
    public answererAt(
        address: Address,
    ): { readonly processIndex: number; readonly service: ServiceBinding; } {
        const processIndex = this.addresses.indexOf(address);
        return { processIndex, service: this.tasks[processIndex]!.service };
    }

    /** {@inheritDoc ControlledProcesses.record} */
    public recordAnswer(processIndex: number, content: string): void {
        this.heard[processIndex]!.push(`${content} ${this.describeMemory(processIndex)}`);
    }

    /**
     * Names the state: what each member and engine remembers, what each round has heard so far, what is on its way,
     * and what is left of the budget.
     *
     * @returns a hash
     */
    public stateName(): string {
        const messages = [...this.pending].filter(({ isTimer }) => !isTimer).map(({ content }) => content);
        const parts = [
            ...this.tasks.map((_, rank) => this.describeRank(rank)),
            ...messages.sort(),
            JSON.stringify(this.left),
        ];
        return contentHash(new TextEncoder().encode(parts.join("\n")));
    }

    /** Lists what can happen next. */
    public choices(): Choice[] {
        const choices: Choice[] = [];
        for (const action of this.pending) {
            if (!action.isTimer) {
                choices.push({ label: action.label, run: action.run });
            }
            else if (this.left.timeouts > 0) {
                choices.push({ label: action.label, run: () => this.spend("timeouts", action.run) });
            }
        }
        for (let rank = 0; rank < this.budget.ranks; rank++) {
            choices.push(...this.choicesOf(rank));
        }
        return choices;
    }

    /**
     * Makes a choice happen and lets all tasks react.
     *
     * @param choice - the choice
     */
    public async apply(choice: Choice): Promise<void> {
        choice.run();
        await settleTasks();
        this.lockStep.completeIfStarted();
    }

    /**
     * Lets everything arrive and nothing more fail, until all ranks complete a step.
     *
     * @returns whether they did
     */
    public async recovers(): Promise<boolean> {
        const target = this.lockStep.completedSteps + 1;
        for (let attempt = 0; attempt < MAX_RECOVERY_ROUNDS; attempt++) {
            await this.deliverAll();
            void this.tasks[attempt % this.budget.ranks]!.settle();
            await settleTasks();
            await this.deliverAll();
            this.engines.forEach(engine => engine.startStep());
            this.lockStep.completeIfStarted();
            if (this.lockStep.completedSteps >= target) {
                return true;
            }
        }
        return false;
    }

    private async deliverAll(): Promise<void> {
        for (let next = this.nextMessage(); next; next = this.nextMessage()) {
            next.run();
            await settleTasks();
        }
    }

    private nextMessage(): PendingAction | undefined {
        const actions = [...this.pending];
        // A call whose other side crashed gets no answer, so its timer comes last.
        return actions.find(action => !action.isTimer) ?? actions[0];
    }

    private choicesOf(rank: number): Choice[] {
        const choices: Choice[] = [];
        const add = (label: string, run: () => void): void => {
            choices.push({
                label: `${label} ${rank}`,
                run,
            });
        };
        const engine = this.engines[rank]!;
        const proposal = this.budget.proposers.indexOf(rank);
        if (this.left.proposers.includes(rank)) {
            add("propose", () => this.propose(rank, proposal));
        }
        if (engine.canStart && engine.currentStep < this.budget.steps) {
            add("start", () => engine.startStep());
        }
        const isOpen = engine.isHeld || !engine.hasMap || this.lives[rank]! > 1;
        if (this.left.resolves > 0 && isOpen) {
            add("resolve", () => this.spend("resolves", () => this.resolve(rank, engine.isHeld)));
        }
        if (this.left.agentCrashes > 0) {
            add("crash", () => this.spend("agentCrashes", () => this.restartAgent(rank)));
        }
        if (this.left.engineCrashes > 0) {
            add("restart engine", () => this.spend("engineCrashes", () => engine.restart()));
        }
        return choices;
    }

    private spend(
        kind: "timeouts" | "agentCrashes" | "engineCrashes" | "resolves",
        run: () => void,
    ): void {
        this.left[kind]--;
        run();
    }

    private propose(rank: number, proposal: number): void {
        this.left.proposers = this.left.proposers.filter(proposer => proposer !== rank);
        const map = mapNamed(`map ${proposal + 1}`);
        this.track(rank, map.id, () => this.tasks[rank]!.propose(map, "search"));
    }

    private resolve(rank: number, isHeld: boolean): void {
        const task = this.tasks[rank]!;
        this.track(rank, "resolve", () => isHeld ? task.resolve() : task.settle());
    }

    /** Runs a round. What it has heard belongs to the state until it ends. */
    private track(rank: number, name: string, run: () => Promise<unknown>): void {
        const life = this.lives[rank]!;
        this.runningRounds[rank]!++;
        this.heard[rank]!.push(`${name} ${this.describeMemory(rank)}`);
        const onEnd = (): void => {
            if (this.lives[rank] === life && --this.runningRounds[rank]! === 0) {
                this.heard[rank] = [];
            }
        };
        run().then(onEnd, onEnd);
    }

    private describeMemory(rank: number): string {
        const { promisedEpoch, abortedEpoch, settledEpoch, decided, armed } = this.tasks[rank]!.member.memory;
        const names = [...decided, armed].map(activation => `${activation?.epoch}:${activation?.map.id}`);
        const epochs = [promisedEpoch, abortedEpoch, settledEpoch, this.tasks[rank]!.highestEpoch];
        return `${this.lives[rank]} ${epochs.join(" ")} ${names.join(" ")} ${this.engines[rank]!.describe()}`;
    }

    private describeRank(rank: number): string {
        return `${this.describeMemory(rank)} ${normalizeAnswers(this.heard[rank]!).join(";")}`;
    }

    private restartAgent(rank: number): void {
        this.processes[rank]!.kill();
        this.runningRounds[rank] = 0;
        this.heard[rank] = [];
        this.startAgent(rank);
    }

    private startAgent(rank: number): void {
        const life = ++this.lives[rank]!;
        this.processes[rank] = new ControlledProcess(this, rank, life);
        this.tasks[rank] = createGroupTask({
            runtime: this.processes[rank]!.runtime,
            rank,
            addresses: this.addresses,
            incarnation: `${rank}.${life}`,
            engine: this.engines[rank]!,
            initialMap: INITIAL_MAP,
            leadSteps: 1,
        });
    }
}
