/**
 * Fleet of simulated processes that run only their control planes, on the virtual clock.
 *
 * @packageDocumentation
 */

import {
    type ControlPlane,
    createStatusReader,
    type MemberIdentity,
    type Platform,
    startControlPlane,
} from "@magnolialock/control";
import {
    type Address,
    bindService,
    branded,
    createDeferred,
    createRandomSource,
    type DataCentreId,
    type InstanceId,
    type RandomSource,
    UnreachableError,
} from "@magnolialock/kernel";
import { OperatorService } from "@magnolialock/protocol";
import {
    createVirtualRuntime,
    LinkTable,
    VirtualClock,
    VirtualNetwork,
    type VirtualRuntime,
} from "@magnolialock/test-support";
import { SimulatedPlatform } from "../standIns/simulatedPlatform.ts";
import { ContentCache } from "./contentCache.ts";
import { createRolloutNodes, type RolloutNode, RolloutRules } from "./rolloutRules.ts";

/** Options of a {@link RolloutFleet}. */
export interface RolloutFleetOptions {
    /** Number of nodes. */
    readonly nodes: number;
    /** Number of data centres. */
    readonly dataCentres: number;
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the rule file, in bytes. */
    readonly rulesBytes?: number;
    /** Called when a revision becomes active on a node. */
    readonly onAccepted?: (runningNode: RunningNode, revision: number) => void;
}

/** A running process of a node; each restart creates a new one. */
export interface RunningNode {
    /** The node. */
    readonly node: RolloutNode;
    /** Runtime of the process. */
    readonly runtime: VirtualRuntime;
    /** Control plane of the process. */
    readonly controlPlane: ControlPlane;
    /** When the process started, in milliseconds of virtual time. */
    readonly startedMs: number;
    /** When the process first had a configuration, in milliseconds of virtual time; undefined before. */
    readyMs: number | undefined;
}

const SHARED_KEY = "lab key";
/** Number of events that each process keeps in memory. */
const MAX_KEPT_EVENTS = 50;

/** Nodes of a rollout experiment with their network and the platform stand-in. */
export class RolloutFleet {
    /** Clock of the fleet. */
    public readonly clock = new VirtualClock();
    /** Random source of the fleet. */
    public readonly random: RandomSource;
    /** Links between the processes. */
    public readonly links: LinkTable;
    /** Network between the processes. */
    public readonly network: VirtualNetwork;
    /** Platform stand-in that publishes rules and the instance list. */
    public readonly platform: SimulatedPlatform;
    /** Versions of the rule file. */
    public readonly rules: RolloutRules;
    /** All nodes. */
    public readonly nodes: readonly RolloutNode[];
    /** Running processes by name of the node. */
    public readonly runningNodes = new Map<string, RunningNode>();
    /** Data centres that cannot reach the platform. */
    public readonly isolatedDataCentres = new Set<string>();
    private readonly contentCache = new ContentCache();
    private readonly options: RolloutFleetOptions;

    /** @param options - size of the fleet, seed and callback */
    public constructor(options: RolloutFleetOptions) {
        this.options = options;
        this.random = createRandomSource(options.seed);
        this.links = new LinkTable({ random: this.random.fork("links") });
        this.network = new VirtualNetwork({ clock: this.clock, links: this.links, countBytes: true });
        this.platform = new SimulatedPlatform({ clock: this.clock });
        this.nodes = createRolloutNodes(options.nodes, options.dataCentres);
        this.rules = new RolloutRules(this.nodes, options.rulesBytes);
        this.publishInstanceList();
    }

    /**
     * Starts a process of a node, after it has killed the node's earlier process.
     *
     * @param node - the node
     * @returns the new process
     */
    public async start(node: RolloutNode): Promise<RunningNode> {
        this.kill(node);
        const runtime = createVirtualRuntime({
            name: node.name,
            dataCentre: node.dataCentre,
            network: this.network,
            random: this.random.fork(`${this.clock.nowMs()}`),
            eventCapacity: MAX_KEPT_EVENTS,
        });
        const self: MemberIdentity = {
            role: node.role,
            name: branded<InstanceId>(node.name),
            dataCentre: branded<DataCentreId>(node.dataCentre),
            address: branded<Address>(node.address),
        };
        const controlPlane = startControlPlane({
            runtime,
            self,
            sharedKey: SHARED_KEY,
            platform: this.createPlatformClient(runtime),
            store: this.contentCache.createStore(runtime.events),
        });
        const { store, membership } = controlPlane;
        const getStatus = createStatusReader({ self, store, membership, clock: runtime.clock });
        const operator = bindService(OperatorService, { getStatus });
        await runtime.network.listen(self.address, [...controlPlane.services, operator]);
        const runningNode: RunningNode = {
            node,
            runtime,
            controlPlane,
            startedMs: this.clock.nowMs(),
            readyMs: undefined,
        };
        this.runningNodes.set(node.name, runningNode);
        controlPlane.store.onChange(({ revision }) => {
            runningNode.readyMs ??= this.clock.nowMs();
            this.options.onAccepted?.(runningNode, revision);
        });
        return runningNode;
    }

    /**
     * Kills the process of a node; does nothing if none runs.
     *
     * @param node - the node
     */
    public kill(node: RolloutNode): void {
        const runningNode = this.runningNodes.get(node.name);
        if (runningNode) {
            this.network.kill(runningNode.runtime.endpoint);
            this.runningNodes.delete(node.name);
        }
    }

    /**
     * Starts the processes of nodes one after the other, in the given order and at even intervals.
     *
     * @param nodes - the nodes
     * @param durationMs - period over which the starts are spread, in milliseconds of virtual time
     */
    public async startAll(nodes: readonly RolloutNode[], durationMs: number): Promise<void> {
        for (const node of nodes) {
            await this.start(node);
            await this.clock.advance(durationMs / nodes.length);
        }
    }

    /**
     * Partitions a data centre from all others and from the platform.
     *
     * @param dataCentre - the data centre
     * @returns a function that heals the partition
     */
    public cutOff(dataCentre: string): () => void {
        const heal = this.links.cut(
            endpoint => endpoint.dataCentre === dataCentre,
            endpoint => endpoint.dataCentre !== dataCentre,
        );
        this.isolatedDataCentres.add(dataCentre);
        return () => {
            heal();
            this.isolatedDataCentres.delete(dataCentre);
        };
    }

    private publishInstanceList(): void {
        this.platform.setInstances(this.nodes.map(node => ({
            name: branded<InstanceId>(node.name),
            role: node.role,
            dataCentre: branded<DataCentreId>(node.dataCentre),
            address: branded<Address>(node.address),
            isLeaving: false,
        })));
    }

    /**
     * Creates the platform client of one process. Its promises settle on the clock of the process, so not
     * while the process is paused, and it fails while the data centre is partitioned, also for a call that
     * began before.
     */
    private createPlatformClient(runtime: VirtualRuntime): Platform {
        const { dataCentre } = runtime.endpoint;
        const assertReachable = (): void => {
            if (this.isolatedDataCentres.has(dataCentre)) {
                throw new UnreachableError("the platform cannot be reached");
            }
        };
        const settleInProcess = <T>(read: () => Promise<T>): Promise<T> => {
            const { promise, resolve, reject } = createDeferred<T>();
            const readAndSettle = async (): Promise<void> => {
                try {
                    assertReachable();
                    const value = await read();
                    assertReachable();
                    runtime.process.run(() => resolve(value));
                }
                catch (error) {
                    runtime.process.run(() => reject(error));
                }
            };
            void readAndSettle();
            return promise;
        };
        return {
            watchRules: (...args) => settleInProcess(() => this.platform.watchRules(...args)),
            watchInstances: (...args) => settleInProcess(() => this.platform.watchInstances(...args)),
        };
    }
}
