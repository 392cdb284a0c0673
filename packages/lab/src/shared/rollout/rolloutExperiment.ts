/**
 * Experiment `rollout`: measures how configuration changes propagate through a fleet, with and without
 * faults.
 *
 * @packageDocumentation
 */

import { branded, type Revision, shuffled } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import { RolloutFleet, type RolloutFleetOptions } from "./rolloutFleet.ts";
import { RolloutRecorder, type RolloutReport } from "./rolloutRecorder.ts";
import type { RolloutNode } from "./rolloutRules.ts";

/** Faults that a rollout experiment can inject. */
export const ROLLOUT_FAULTS = ["none", "stale", "down", "cut", "replace-all", "paused"] as const;

/** Name of an injected fault. */
export type RolloutFault = typeof ROLLOUT_FAULTS[number];

/** Options of {@link runRollout}. */
export interface RolloutOptions extends Omit<RolloutFleetOptions, "onAccepted"> {
    /** Injected fault. */
    readonly fault: RolloutFault;
}

/** Period over which the whole fleet starts, and the wait before it, in milliseconds. */
const FLEET_START_MS = 10_000;
/** Wait between the start of the fleet and the measurement, in milliseconds. */
const SETTLE_MS = 5_000;
/**
 * The same wait where nodes are replaced, in milliseconds. Peers limit how often they send the full
 * configuration; after this wait, those that sent it during the start send it again.
 */
const SETTLE_BEFORE_REPLACEMENT_MS = 45_000;
const FAULTS_WITH_REPLACEMENT: readonly RolloutFault[] = ["stale", "down", "replace-all"];
/** Interval between changes, longer than a change may take to become active everywhere, in milliseconds. */
const CHANGE_INTERVAL_MS = 6_500;
/** Duration of a fault, in milliseconds. */
const FAULT_MS = 20_000;
/** Period over which all instances of a data centre are replaced, in milliseconds. */
const REPLACE_ALL_MS = 50_000;
/** Duration of a pause, in milliseconds. */
const PAUSE_MS = 8_000;
/** Share of the nodes that is paused. */
const PAUSED_SHARE = 0.1;
/** Share of the nodes that is replaced during the faults `stale` and `down`. */
const REPLACED_SHARE = 0.1;

/** One run of the experiment. */
class RolloutRun {
    public readonly recorder = new RolloutRecorder();
    public readonly fleet: RolloutFleet;
    private lastVersion = 0;
    private rejectedRevision = 0;

    public constructor(private readonly options: RolloutOptions) {
        this.fleet = new RolloutFleet({
            ...options,
            onAccepted: (runningNode, revision) =>
                this.recorder.recordAcceptance(runningNode, revision, this.fleet.clock.nowMs()),
        });
    }

    public async run(): Promise<RolloutReport> {
        const { fleet, options } = this;
        await fleet.clock.advance(FLEET_START_MS);
        this.publish();
        await fleet.startAll(shuffled(fleet.random, fleet.nodes), FLEET_START_MS);
        const replacesNodes = FAULTS_WITH_REPLACEMENT.includes(options.fault);
        await fleet.clock.advance(replacesNodes ? SETTLE_BEFORE_REPLACEMENT_MS : SETTLE_MS);
        this.recorder.startMeasurement(fleet);
        await this.publishAndWait();
        await match(options.fault)
            .with("none", () => this.runWithoutFault())
            .with("stale", () => this.runStalePlatform())
            .with("down", () => this.runPlatformDown())
            .with("cut", () => this.runPartition())
            .with("replace-all", () => this.runReplaceAll())
            .with("paused", () => this.runPaused())
            .exhaustive();
        await this.publishAndWait();
        const { seed, fault } = options;
        return this.recorder.createReport(fleet, { seed, fault, rejected: this.rejectedRevision });
    }

    private publish(): void {
        const revision = this.fleet.platform.publish(this.fleet.rules.version(++this.lastVersion));
        this.recorder.recordPublication(revision, this.fleet.clock.nowMs());
    }

    private publishInvalid(): void {
        this.rejectedRevision = this.fleet.platform.publish(this.fleet.rules.invalidVersion());
    }

    private async publishAndWait(): Promise<void> {
        this.publish();
        await this.fleet.clock.advance(CHANGE_INTERVAL_MS);
    }

    private async replaceNodes(nodes: readonly RolloutNode[], durationMs: number): Promise<void> {
        for (const node of nodes) {
            const runningNode = this.fleet.runningNodes.get(node.name);
            if (runningNode) {
                this.recorder.recordReplacement(runningNode);
            }
            this.recorder.recordReachable(node.name, this.fleet.clock.nowMs());
            await this.fleet.start(node);
            await this.fleet.clock.advance(durationMs / nodes.length);
        }
    }

    private drawNodes(share: number): RolloutNode[] {
        const { random, nodes } = this.fleet;
        return shuffled(random, nodes).slice(0, Math.max(1, Math.floor(nodes.length * share)));
    }

    private async runWithoutFault(): Promise<void> {
        await this.publishAndWait();
        this.publishInvalid();
        await this.fleet.clock.advance(CHANGE_INTERVAL_MS);
    }

    /** The platform serves its first revision again while nodes are replaced. */
    private async runStalePlatform(): Promise<void> {
        const { fleet } = this;
        fleet.platform.serveStaleRules({ revision: branded<Revision>(1), bytes: fleet.rules.version(1) });
        await this.replaceNodes(this.drawNodes(REPLACED_SHARE), FAULT_MS);
        fleet.platform.mode = "up";
    }

    /** The platform is down while nodes are replaced. */
    private async runPlatformDown(): Promise<void> {
        const { fleet } = this;
        fleet.platform.mode = "down";
        await this.replaceNodes(this.drawNodes(REPLACED_SHARE), FAULT_MS);
        fleet.platform.mode = "up";
    }

    /** A data centre is partitioned while a change is published. */
    private async runPartition(): Promise<void> {
        const { fleet } = this;
        const dataCentre = fleet.nodes[0]?.dataCentre ?? "";
        const heal = fleet.cutOff(dataCentre);
        await this.publishAndWait();
        await fleet.clock.advance(FAULT_MS - CHANGE_INTERVAL_MS);
        heal();
        for (const { name } of fleet.nodes.filter(node => node.dataCentre === dataCentre)) {
            this.recorder.recordReachable(name, fleet.clock.nowMs());
        }
        await fleet.clock.advance(CHANGE_INTERVAL_MS);
    }

    /** All nodes of a data centre are replaced within a minute; a change is published halfway. */
    private async runReplaceAll(): Promise<void> {
        const { fleet } = this;
        const dataCentre = fleet.nodes[0]?.dataCentre;
        const nodes = fleet.nodes.filter(node => node.dataCentre === dataCentre);
        const half = nodes.length >> 1;
        await this.replaceNodes(nodes.slice(0, half), REPLACE_ALL_MS / 2);
        this.publish();
        await this.replaceNodes(nodes.slice(half), REPLACE_ALL_MS / 2);
    }

    /** Some nodes are paused while a change is published. */
    private async runPaused(): Promise<void> {
        const { fleet } = this;
        const names = new Set(this.drawNodes(PAUSED_SHARE).map(({ name }) => name));
        const paused = [...fleet.runningNodes.values()].filter(({ node }) => names.has(node.name));
        for (const { runtime } of paused) {
            runtime.process.pause();
        }
        this.publish();
        await fleet.clock.advance(PAUSE_MS);
        for (const { node, runtime } of paused) {
            this.recorder.recordReachable(node.name, fleet.clock.nowMs());
            runtime.process.resume();
        }
        await fleet.clock.advance(CHANGE_INTERVAL_MS);
    }
}

/**
 * Runs the experiment once.
 *
 * @param options - size of the fleet, seed and fault
 * @returns the measurements
 */
export const runRollout = (options: RolloutOptions): Promise<RolloutReport> => new RolloutRun(options).run();
