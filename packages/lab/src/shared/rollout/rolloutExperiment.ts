/**
 * Experiment: how changes of the configuration reach a fleet, with and without faults.
 *
 * @packageDocumentation
 */

import { branded, type Revision, shuffled } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import { RolloutFleet, type RolloutFleetOptions } from "./rolloutFleet.ts";
import { RolloutMeasure, type RolloutReport } from "./rolloutMeasure.ts";
import type { RolloutNode } from "./rolloutRules.ts";

/** What can go wrong in a rollout experiment. */
export const ROLLOUT_FAULTS = ["none", "stale", "down", "cut", "replace-all", "paused"] as const;

/** What goes wrong. */
export type RolloutFault = typeof ROLLOUT_FAULTS[number];

/** Options of {@link runRollout}. */
export interface RolloutOptions extends Omit<RolloutFleetOptions, "onAccepted"> {
    /** What goes wrong. */
    readonly fault: RolloutFault;
}

/** Time over which the whole fleet starts, in milliseconds. */
const FLEET_START_MS = 10_000;
/** Time after the start before anything is measured, in milliseconds. */
const SETTLE_MS = 5_000;
/** Time between changes, longer than a change may take to be in force everywhere, in milliseconds. */
const CHANGE_INTERVAL_MS = 6_500;
/** Time that a fault lasts, in milliseconds. */
const FAULT_MS = 20_000;
/** Time over which all instances of a data centre are replaced, in milliseconds. */
const REPLACE_ALL_MS = 50_000;
/** Time that processes are paused, in milliseconds. */
const PAUSE_MS = 8_000;
/** Share of processes that are paused or replaced. */
const PAUSED_SHARE = 0.1;
const REPLACED_SHARE = 0.1;

/** One run. */
class RolloutRun {
    public readonly measure = new RolloutMeasure();
    public readonly fleet: RolloutFleet;
    private version = 0;
    private rejected = 0;

    public constructor(private readonly options: RolloutOptions) {
        this.fleet = new RolloutFleet({
            ...options,
            onAccepted: (life, revision) =>
                this.measure.noteAccepted(life, revision, this.fleet.clock.nowMs()),
        });
    }

    public async run(): Promise<RolloutReport> {
        const { fleet, options } = this;
        await fleet.clock.advance(FLEET_START_MS);
        this.publish();
        await fleet.startAll(shuffled(fleet.random, fleet.nodes), FLEET_START_MS);
        await fleet.clock.advance(SETTLE_MS);
        this.measure.begin(fleet);
        await this.change();
        await match(options.fault)
            .with("none", () => this.runQuiet())
            .with("stale", () => this.runStale())
            .with("down", () => this.runDown())
            .with("cut", () => this.runCut())
            .with("replace-all", () => this.runReplaceAll())
            .with("paused", () => this.runPaused())
            .exhaustive();
        await this.change();
        const { seed, fault } = options;
        return this.measure.report(fleet, { seed, fault, rejected: this.rejected });
    }

    private publish(): void {
        const revision = this.fleet.platform.publish(this.fleet.rules.version(++this.version));
        this.measure.notePublished(revision, this.fleet.clock.nowMs());
    }

    private publishBroken(): void {
        this.rejected = this.fleet.platform.publish(this.fleet.rules.broken());
    }

    private async change(): Promise<void> {
        this.publish();
        await this.fleet.clock.advance(CHANGE_INTERVAL_MS);
    }

    private async replace(nodes: readonly RolloutNode[], durationMs: number): Promise<void> {
        for (const node of nodes) {
            const life = this.fleet.lives.get(node.name);
            if (life) {
                this.measure.noteKilled(life);
            }
            this.measure.noteReachable(node.name, this.fleet.clock.nowMs());
            await this.fleet.start(node);
            await this.fleet.clock.advance(durationMs / nodes.length);
        }
    }

    private someNodes(share: number): RolloutNode[] {
        const { random, nodes } = this.fleet;
        return shuffled(random, nodes).slice(0, Math.max(1, Math.floor(nodes.length * share)));
    }

    private async runQuiet(): Promise<void> {
        await this.change();
        this.publishBroken();
        await this.fleet.clock.advance(CHANGE_INTERVAL_MS);
    }

    /** The platform falls back to its first value while processes are replaced. */
    private async runStale(): Promise<void> {
        const { fleet } = this;
        fleet.platform.becomeStale({ revision: branded<Revision>(1), bytes: fleet.rules.version(1) });
        await this.replace(this.someNodes(REPLACED_SHARE), FAULT_MS);
        fleet.platform.mode = "up";
    }

    /** The platform does not answer while processes are replaced. */
    private async runDown(): Promise<void> {
        const { fleet } = this;
        fleet.platform.mode = "down";
        await this.replace(this.someNodes(REPLACED_SHARE), FAULT_MS);
        fleet.platform.mode = "up";
    }

    /** A data centre is cut off while a change is published. */
    private async runCut(): Promise<void> {
        const { fleet } = this;
        const dataCentre = fleet.nodes[0]?.dataCentre ?? "";
        const heal = fleet.cutOff(dataCentre);
        await this.change();
        await fleet.clock.advance(FAULT_MS - CHANGE_INTERVAL_MS);
        heal();
        for (const { name } of fleet.nodes.filter(node => node.dataCentre === dataCentre)) {
            this.measure.noteReachable(name, fleet.clock.nowMs());
        }
        await fleet.clock.advance(CHANGE_INTERVAL_MS);
    }

    /** All processes of a data centre are replaced within a minute, while a change is published. */
    private async runReplaceAll(): Promise<void> {
        const { fleet } = this;
        const dataCentre = fleet.nodes[0]?.dataCentre;
        const nodes = fleet.nodes.filter(node => node.dataCentre === dataCentre);
        const half = nodes.length >> 1;
        await this.replace(nodes.slice(0, half), REPLACE_ALL_MS / 2);
        this.publish();
        await this.replace(nodes.slice(half), REPLACE_ALL_MS / 2);
    }

    /** Some processes are paused while a change is published. */
    private async runPaused(): Promise<void> {
        const { fleet } = this;
        const names = new Set(this.someNodes(PAUSED_SHARE).map(({ name }) => name));
        const paused = [...fleet.lives.values()].filter(({ node }) => names.has(node.name));
        for (const { runtime } of paused) {
            runtime.process.pause();
        }
        this.publish();
        await fleet.clock.advance(PAUSE_MS);
        for (const { node, runtime } of paused) {
            this.measure.noteReachable(node.name, fleet.clock.nowMs());
            runtime.process.wake();
        }
        await fleet.clock.advance(CHANGE_INTERVAL_MS);
    }
}

/**
 * Runs the experiment.
 *
 * @param options - size, seed and fault
 * @returns what was measured
 */
export const runRollout = (options: RolloutOptions): Promise<RolloutReport> => new RolloutRun(options).run();
