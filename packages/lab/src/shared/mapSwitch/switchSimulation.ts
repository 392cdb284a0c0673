/**
 * Simulation of a small group of ranks in which a search chooses every event: deliveries, timeouts, crashes
 * and steps.
 *
 * @packageDocumentation
 */

import { type Address, branded, contentHash, type ServiceBinding } from "@magnolialock/kernel";
import { createGroupTask, type EncodedMap, type GroupTask, type MapId } from "@magnolialock/maps";
import { SimulatedLockstep } from "../standIns/simulatedLockstep.ts";
import { SimulatedRankEngine } from "../standIns/simulatedRankEngine.ts";
import { ControlledProcess, type ControlledProcesses, type PendingAction } from "./controlledProcess.ts";

/** Size of the group, and number of events of each kind that a search may choose. */
export interface SwitchBudget {
    /** Number of ranks. */
    readonly ranks: number;
    /** Ranks that each propose a map once; the first proposes map 1, the second map 2. */
    readonly proposers: readonly number[];
    /** Calls that time out before their reply; their requests may still arrive. */
    readonly timeouts: number;
    /** Crashes of agents, each followed by a restart. */
    readonly agentCrashes: number;
    /** Restarts of engines. */
    readonly engineCrashes: number;
    /** Number of times that a member asks the others for the outcome of an open round or settles it. */
    readonly resolves: number;
    /** Steps that the group may complete. */
    readonly steps: number;
    /** Whether engines refuse orders with an old fencing token. */
    readonly honoursFencing: boolean;
}

/** Event that the search can choose. */
export interface Choice {
    /** Identifier that does not depend on the order of choices. */
    readonly label: string;
    /** Makes the event happen. */
    readonly run: () => void;
}

const mapNamed = (name: string): EncodedMap => ({
    id: branded<MapId>(name),
    bytes: new TextEncoder().encode(name),
});

/** Number of rounds within which a group with working communication must resume its steps. */
const MAX_RECOVERY_ROUNDS = 6;
const INITIAL_MAP = mapNamed("map 0");
const BOOT_MAP = { epoch: 0, fromStep: 0, map: INITIAL_MAP };

/** Waits until all promise callbacks have run. */
const flushTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const isReply = (entry: string): boolean => entry.startsWith("!");

/**
 * Sorts replies that arrive with no other entry in between: a caller waits for all of them, so their order
 * does not matter.
 */
const normalizeReplies = (entries: readonly string[]): string[] => {
    const result: string[] = [];
    let replies: string[] = [];
    for (const entry of entries) {
        if (isReply(entry)) {
            replies.push(entry);
            continue;
        }
        result.push(...replies.sort(), entry);
        replies = [];
    }
    return [...result, ...replies.sort()];
};

/** The group, its processes and the remaining budget. */
export class SwitchSimulation implements ControlledProcesses {
    /** {@inheritDoc ControlledProcesses.pending} */
    public readonly pending = new Set<PendingAction>();
    /** Lockstep of the ranks; counts the steps with mixed maps. */
    public readonly lockStep: SimulatedLockstep;
    private readonly engines: SimulatedRankEngine[];
    /** For each rank: starts and replies of its running rounds, each with the member's state at that time. */
    private readonly receivedByRank: string[][];
    private readonly addresses: Address[];
    private readonly incarnations: number[];
    private processes: ControlledProcess[] = [];
    private tasks: GroupTask[] = [];
    private readonly runningRounds: number[];
    private readonly remaining: { -readonly [Key in keyof SwitchBudget]: SwitchBudget[Key]; };

    private constructor(private readonly budget: SwitchBudget) {
        const ranks = Array.from({ length: budget.ranks }, (_, rank) => rank);
        const { honoursFencing } = budget;
        this.engines = ranks.map(rank =>
            new SimulatedRankEngine({ rank, honoursFencing, fallbackMap: BOOT_MAP })
        );
        this.lockStep = new SimulatedLockstep(this.engines);
        this.receivedByRank = ranks.map(() => []);
        this.runningRounds = ranks.map(() => 0);
        this.addresses = ranks.map(rank => branded<Address>(`10.0.0.${rank + 1}:7000`));
        this.incarnations = ranks.map(() => 0);
        this.remaining = { ...budget };
        ranks.forEach(rank => this.startAgent(rank));
    }

    /**
     * Creates a group whose engines have the initial map in force.
     *
     * @param budget - size of the group, and number of events of each kind
     * @returns the simulation
     */
    public static async create(budget: SwitchBudget): Promise<SwitchSimulation> {
        const simulation = new SwitchSimulation(budget);
        for (const engine of simulation.engines) {
            await engine.install(BOOT_MAP, 0, 0);
        }
        return simulation;
    }

    /** {@inheritDoc ControlledProcesses.resolveAddress} */
    public resolveAddress(
        address: Address,
    ): { readonly processIndex: number; readonly service: ServiceBinding; } {
        const processIndex = this.addresses.indexOf(address);
        return { processIndex, service: this.tasks[processIndex]!.service };
    }

    /** {@inheritDoc ControlledProcesses.recordReply} */
    public recordReply(processIndex: number, content: string): void {
        this.receivedByRank[processIndex]!.push(`${content} ${this.describeMember(processIndex)}`);
    }

    /**
     * Hashes the state: the state of each member and engine, what each running round has received so far, the
     * messages in flight and the remaining budget.
     *
     * @returns the hash; equal states have equal hashes
     */
    public stateHash(): string {
        const messages = [...this.pending].filter(({ isTimer }) => !isTimer).map(({ content }) => content);
        const parts = [
            ...this.tasks.map((_, rank) => this.describeRank(rank)),
            ...messages.sort(),
            JSON.stringify(this.remaining),
        ];
        return contentHash(new TextEncoder().encode(parts.join("\n")));
    }

    /** Lists the events that can be chosen next. */
    public choices(): Choice[] {
        const choices: Choice[] = [];
        for (const action of this.pending) {
            if (!action.isTimer) {
                choices.push({ label: action.label, run: action.run });
            }
            else if (this.remaining.timeouts > 0) {
                choices.push({ label: action.label, run: () => this.consume("timeouts", action.run) });
            }
        }
        for (let rank = 0; rank < this.budget.ranks; rank++) {
            choices.push(...this.rankChoices(rank));
        }
        return choices;
    }

    /**
     * Applies a choice and lets all tasks react to it.
     *
     * @param choice - one of the present choices
     */
    public async apply(choice: Choice): Promise<void> {
        choice.run();
        await flushTasks();
        this.lockStep.completeIfAllStarted();
    }

    /**
     * Delivers all messages without further failures until all ranks complete a step.
     *
     * @returns whether they complete one within the permitted rounds
     */
    public async recovers(): Promise<boolean> {
        const target = this.lockStep.completedSteps + 1;
        for (let attempt = 0; attempt < MAX_RECOVERY_ROUNDS; attempt++) {
            await this.deliverAll();
            void this.tasks[attempt % this.budget.ranks]!.settle();
            await flushTasks();
            await this.deliverAll();
            this.engines.forEach(engine => engine.startStep());
            this.lockStep.completeIfAllStarted();
            if (this.lockStep.completedSteps >= target) {
                return true;
            }
        }
        return false;
    }

    private async deliverAll(): Promise<void> {
        for (let next = this.nextMessage(); next; next = this.nextMessage()) {
            next.run();
            await flushTasks();
        }
    }

    private nextMessage(): PendingAction | undefined {
        const actions = [...this.pending];
        // A call to a crashed process gets no reply, so its timer fires only when no message is in flight.
        return actions.find(action => !action.isTimer) ?? actions[0];
    }

    private rankChoices(rank: number): Choice[] {
        const choices: Choice[] = [];
        const add = (label: string, run: () => void): void => {
            choices.push({
                label: `${label} ${rank}`,
                run,
            });
        };
        const engine = this.engines[rank]!;
        const proposal = this.budget.proposers.indexOf(rank);
        if (this.remaining.proposers.includes(rank)) {
            add("propose", () => this.propose(rank, proposal));
        }
        if (engine.canStart && engine.currentStep < this.budget.steps) {
            add("start", () => engine.startStep());
        }
        const isUnresolved = engine.isWaitingForRelease || !engine.hasMap || this.incarnations[rank]! > 1;
        if (this.remaining.resolves > 0 && isUnresolved) {
            add(
                "resolve",
                () => this.consume("resolves", () => this.resolve(rank, engine.isWaitingForRelease)),
            );
        }
        if (this.remaining.agentCrashes > 0) {
            add("crash", () => this.consume("agentCrashes", () => this.restartAgent(rank)));
        }
        if (this.remaining.engineCrashes > 0) {
            add("restart engine", () => this.consume("engineCrashes", () => engine.restart()));
        }
        return choices;
    }

    private consume(
        kind: "timeouts" | "agentCrashes" | "engineCrashes" | "resolves",
        run: () => void,
    ): void {
        this.remaining[kind]--;
        run();
    }

    private propose(rank: number, proposal: number): void {
        this.remaining.proposers = this.remaining.proposers.filter(proposer => proposer !== rank);
        const map = mapNamed(`map ${proposal + 1}`);
        this.trackRound(rank, map.id, () => this.tasks[rank]!.propose(map, "search"));
    }

    private resolve(rank: number, isWaitingForRelease: boolean): void {
        const task = this.tasks[rank]!;
        this.trackRound(
            rank,
            "resolve",
            () => isWaitingForRelease ? task.resolveArmedChange() : task.settle(),
        );
    }

    /** Runs a round. What it receives is part of the state until it ends. */
    private trackRound(rank: number, name: string, run: () => Promise<unknown>): void {
        const incarnation = this.incarnations[rank]!;
        this.runningRounds[rank]!++;
        this.receivedByRank[rank]!.push(`${name} ${this.describeMember(rank)}`);
        const onEnd = (): void => {
            if (this.incarnations[rank] === incarnation && --this.runningRounds[rank]! === 0) {
                this.receivedByRank[rank] = [];
            }
        };
        run().then(onEnd, onEnd);
    }

    private describeMember(rank: number): string {
        const { promisedEpoch, abortedEpoch, settledEpoch, decided, armed } =
            this.tasks[rank]!.member.cachedState;
        const names = [...decided, armed].map(activation => `${activation?.epoch}:${activation?.map.id}`);
        const epochs = [promisedEpoch, abortedEpoch, settledEpoch, this.tasks[rank]!.highestEpoch];
        return `${this.incarnations[rank]} ${epochs.join(" ")} ${names.join(" ")} ${
            this.engines[rank]!.describe()
        }`;
    }

    private describeRank(rank: number): string {
        return `${this.describeMember(rank)} ${normalizeReplies(this.receivedByRank[rank]!).join(";")}`;
    }

    private restartAgent(rank: number): void {
        this.processes[rank]!.kill();
        this.runningRounds[rank] = 0;
        this.receivedByRank[rank] = [];
        this.startAgent(rank);
    }

    private startAgent(rank: number): void {
        const incarnation = ++this.incarnations[rank]!;
        this.processes[rank] = new ControlledProcess(this, rank, incarnation);
        this.tasks[rank] = createGroupTask({
            runtime: this.processes[rank]!.runtime,
            rank,
            addresses: this.addresses,
            incarnation: `${rank}.${incarnation}`,
            engine: this.engines[rank]!,
            initialMap: INITIAL_MAP,
            leadSteps: 1,
        });
    }
}
