/**
 * Exhaustive search through the orders in which a map switch can go.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";
import { type SwitchBudget, SwitchWorld } from "./switchWorld.ts";

/** Options of {@link exploreSwitch}. */
export interface ExploreOptions {
    /** Size of the group and what may happen. */
    readonly budget: SwitchBudget;
    /** Longest sequence of choices. */
    readonly depth: number;
    /** Most states to visit. */
    readonly maxStates: number;
}

/** Result of a search. */
export interface Exploration {
    /** Different states that were visited. */
    readonly states: number;
    /** Sequences that were run to their end. */
    readonly runs: number;
    /** Whether every order up to the depth was covered. */
    readonly isComplete: boolean;
    /** Choices that lead to a violation, and what is wrong there. */
    readonly violation: { readonly trail: readonly string[]; readonly text: string; } | undefined;
}

const findViolation = (world: SwitchWorld): string | undefined =>
    world.lockStep.mixedMapSteps > 0 ? "a step ran with mixed maps" : undefined;

/** Depth-first search; a branch is run again from the start with the choices that lead to it. */
class Search {
    /** Shortest sequence of choices that led to each state. */
    private readonly visited = new Map<string, number>();
    private readonly open: string[][] = [[]];
    private runs = 0;

    public constructor(private readonly options: ExploreOptions) {}

    public async run(): Promise<Exploration> {
        for (let prefix = this.open.pop(); prefix; prefix = this.open.pop()) {
            if (this.visited.size >= this.options.maxStates) {
                return this.result(false);
            }
            this.runs++;
            const violation = await this.follow(prefix);
            if (violation) {
                return { ...this.result(false), violation };
            }
        }
        return this.result(true);
    }

    private result(isComplete: boolean): Exploration {
        return { states: this.visited.size, runs: this.runs, isComplete, violation: undefined };
    }

    /** Repeats the choices of a prefix, then goes on to new states until none is left. */
    private async follow(prefix: readonly string[]): Promise<Exploration["violation"]> {
        const world = await SwitchWorld.create(this.options.budget);
        const trail: string[] = [];
        for (const label of prefix) {
            await this.choose(world, label, trail);
        }
        for (;;) {
            const text = findViolation(world);
            if (text) {
                return { trail, text };
            }
            const state = world.stateName();
            if ((this.visited.get(state) ?? Number.POSITIVE_INFINITY) <= trail.length) {
                return undefined;
            }
            this.visited.set(state, trail.length);
            const choices = world.choices();
            if (choices.length === 0 || trail.length >= this.options.depth) {
                return await world.recovers() ? undefined : { trail, text: "the group does not run again" };
            }
            for (const { label } of choices.slice(1)) {
                this.open.push([...trail, label]);
            }
            await this.choose(world, choices[0]!.label, trail);
        }
    }

    private async choose(world: SwitchWorld, label: string, trail: string[]): Promise<void> {
        const choice = world.choices().find(candidate => candidate.label === label);
        if (!choice) {
            throw new RangeError(`${label} cannot happen after ${trail.join(", ")}`);
        }
        trail.push(label);
        await world.apply(choice);
    }
}

/**
 * Searches all orders of deliveries, timeouts, crashes and steps up to a depth. The real tasks run; only the
 * network, the timers and the engines are replaced.
 *
 * @param options - what may happen, depth and limit
 * @returns number of states and the first violation
 */
export const exploreSwitch = (options: ExploreOptions): Promise<Exploration> => new Search(options).run();

/** Options of {@link sampleSwitch}. */
export interface SampleOptions {
    /** Size of the group and what may happen. */
    readonly budget: SwitchBudget;
    /** Number of sequences. */
    readonly walks: number;
    /** Source of random numbers. */
    readonly random: RandomSource;
}

const walkToEnd = async (
    { budget, random }: SampleOptions,
    visited: Set<string>,
): Promise<Exploration["violation"]> => {
    const world = await SwitchWorld.create(budget);
    const trail: string[] = [];
    for (let choices = world.choices(); choices.length > 0; choices = world.choices()) {
        const choice = choices[random.nextInt(0, choices.length - 1)]!;
        trail.push(choice.label);
        await world.apply(choice);
        visited.add(world.stateName());
        const text = findViolation(world);
        if (text) {
            return { trail, text };
        }
    }
    return await world.recovers() ? undefined : { trail, text: "the group does not run again" };
};

/**
 * Draws orders at random and follows each to its end, which is deeper than {@link exploreSwitch} reaches.
 *
 * @param options - what may happen, and how many orders
 * @returns number of states and the first violation
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
