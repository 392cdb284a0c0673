/**
 * Search of the interleavings of a map switch, exhaustive up to a depth or by random walks.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";
import { type SwitchBudget, SwitchSimulation } from "./switchSimulation.ts";

/** Options of {@link exploreSwitch}. */
export interface ExploreOptions {
    /** Size of the group, and number of events of each kind. */
    readonly budget: SwitchBudget;
    /** Largest number of choices in a sequence. */
    readonly depth: number;
    /** Largest number of states to visit. */
    readonly maxStates: number;
}

/** Result of a search. */
export interface Exploration {
    /** Number of distinct states visited. */
    readonly states: number;
    /** Number of sequences run. */
    readonly runs: number;
    /** Whether every interleaving up to the depth was covered. */
    readonly isComplete: boolean;
    /** Choices that lead to a violation, and its description; undefined when none was found. */
    readonly violation: { readonly trail: readonly string[]; readonly text: string; } | undefined;
}

const findViolation = (simulation: SwitchSimulation): string | undefined =>
    simulation.lockStep.mixedMapSteps > 0 ? "a step ran with mixed maps" : undefined;

/** Depth-first search. A state cannot be restored, so a branch is replayed from the start. */
class Search {
    /** Length of the shortest sequence of choices that led to each state, by the hash of the state. */
    private readonly visited = new Map<string, number>();
    private readonly frontier: string[][] = [[]];
    private runs = 0;

    public constructor(private readonly options: ExploreOptions) {}

    public async run(): Promise<Exploration> {
        for (let prefix = this.frontier.pop(); prefix; prefix = this.frontier.pop()) {
            if (this.visited.size >= this.options.maxStates) {
                return this.result(false);
            }
            this.runs++;
            const violation = await this.explorePrefix(prefix);
            if (violation) {
                return { ...this.result(false), violation };
            }
        }
        return this.result(true);
    }

    private result(isComplete: boolean): Exploration {
        return { states: this.visited.size, runs: this.runs, isComplete, violation: undefined };
    }

    /**
     * Replays the choices of a prefix, then continues until it reaches a visited state, or the end or the
     * depth limit, where the group must recover. Alternative choices on the way are added to the frontier.
     */
    private async explorePrefix(prefix: readonly string[]): Promise<Exploration["violation"]> {
        const simulation = await SwitchSimulation.create(this.options.budget);
        const trail: string[] = [];
        for (const label of prefix) {
            await this.choose(simulation, label, trail);
        }
        for (;;) {
            const text = findViolation(simulation);
            if (text) {
                return { trail, text };
            }
            const state = simulation.stateHash();
            if ((this.visited.get(state) ?? Number.POSITIVE_INFINITY) <= trail.length) {
                return undefined;
            }
            this.visited.set(state, trail.length);
            const choices = simulation.choices();
            if (choices.length === 0 || trail.length >= this.options.depth) {
                return await simulation.recovers()
                    ? undefined
                    : { trail, text: "the group does not resume its steps" };
            }
            for (const { label } of choices.slice(1)) {
                this.frontier.push([...trail, label]);
            }
            await this.choose(simulation, choices[0]!.label, trail);
        }
    }

    private async choose(simulation: SwitchSimulation, label: string, trail: string[]): Promise<void> {
        const choice = simulation.choices().find(candidate => candidate.label === label);
        if (!choice) {
            throw new RangeError(`choice ${label} is not available after ${trail.join(", ")}`);
        }
        trail.push(label);
        await simulation.apply(choice);
    }
}

/**
 * Searches all interleavings of deliveries, timeouts, crashes and steps up to a depth. The product's tasks
 * run; only the network, the timers and the engines are simulated.
 *
 * @param options - budget of events, depth and limit of states
 * @returns number of states, and the first violation
 */
export const exploreSwitch = (options: ExploreOptions): Promise<Exploration> => new Search(options).run();

/** Options of {@link sampleSwitch}. */
export interface SampleOptions {
    /** Size of the group, and number of events of each kind. */
    readonly budget: SwitchBudget;
    /** Number of random walks. */
    readonly walks: number;
    /** Source of random numbers. */
    readonly random: RandomSource;
}

const walkToEnd = async (
    { budget, random }: SampleOptions,
    visited: Set<string>,
): Promise<Exploration["violation"]> => {
    const simulation = await SwitchSimulation.create(budget);
    const trail: string[] = [];
    for (let choices = simulation.choices(); choices.length > 0; choices = simulation.choices()) {
        const choice = choices[random.nextInt(0, choices.length - 1)]!;
        trail.push(choice.label);
        await simulation.apply(choice);
        visited.add(simulation.stateHash());
        const text = findViolation(simulation);
        if (text) {
            return { trail, text };
        }
    }
    return await simulation.recovers() ? undefined : { trail, text: "the group does not resume its steps" };
};

/**
 * Follows random interleavings until no choice is left, which is deeper than {@link exploreSwitch} reaches.
 *
 * @param options - budget of events, and number of walks
 * @returns number of states, and the first violation
 */
export const sampleSwitch = async (options: SampleOptions): Promise<Exploration> => {
    const visited = new Set<string>();
    for (let runs = 1; runs <= options.walks; runs++) {
        const violation = await walkToEnd(options, visited);
        if (violation) {
            return { states: visited.size, runs, isComplete: false, violation };
        }
    }
    return { states: visited.size, runs: options.walks, isComplete: false, violation: undefined };
};
