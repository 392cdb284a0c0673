/**
 * A fleet of control planes on the virtual clock, one for each process.
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
import { PlatformModel } from "../standIns/platformModel.ts";
import { ContentCache } from "./contentCache.ts";
import { type RolloutNode, rolloutNodes, RolloutRules } from "./rolloutRules.ts";

/** Options of a {@link RolloutFleet}. */
export interface RolloutFleetOptions {
    /** Processes. */
    readonly nodes: number;
    /** Data centres. */
    readonly dataCentres: number;
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Size of the rule file, in bytes. */
    readonly rulesBytes?: number;
    /** Called when a revision comes into force in a process. */
    readonly onAccepted?: (life: NodeLife, revision: number) => void;
}

/** One life of a process. */
export interface NodeLife {
    /** The process. */
    readonly node: RolloutNode;
    /** Its surroundings. */
    readonly runtime: VirtualRuntime;
    /** Its control plane. */
    readonly plane: ControlPlane;
    /** When it started, in milliseconds of virtual time. */
    readonly startedMs: number;
    /** When it was ready to serve; undefined before. */
    readyMs: number | undefined;
}

const SHARED_KEY = "lab key";
/** Events that each process remembers. */
const EVENT_CAPACITY = 50;

/** Processes, network and platform. */
export class RolloutFleet {
    /** Clock of the fleet. */
    public readonly clock = new VirtualClock();
    /** Source of random numbers. */
    public readonly random: RandomSource;
    /** Links between processes. */
    public readonly links: LinkTable;
    /** Network between processes. */
    public readonly network: VirtualNetwork;
    /** The platform. */
    public readonly platform: PlatformModel;
    /** Rule files. */
    public readonly rules: RolloutRules;
    /** All processes. */
    public readonly nodes: readonly RolloutNode[];
    /** Present lives by name. */
    public readonly lives = new Map<string, NodeLife>();
    /** Data centres that cannot reach the platform. */
    public readonly cutFromPlatform = new Set<string>();
    private readonly cache = new ContentCache();
    private readonly options: RolloutFleetOptions;

    /** @param options - size and seed */
    public constructor(options: RolloutFleetOptions) {
        this.options = options;
        this.random = createRandomSource(options.seed);
        this.links = new LinkTable({ random: this.random.fork("links") });
        this.network = new VirtualNetwork({ clock: this.clock, links: this.links, countBytes: true });
        this.platform = new PlatformModel({ clock: this.clock });
        this.nodes = rolloutNodes(options.nodes, options.dataCentres);
        this.rules = new RolloutRules(this.nodes, options.rulesBytes);
        this.list();
    }

    /**
     * Starts a life of a process; an earlier one is killed.
     *
     * @param node - the process
     * @returns its new life
     */
    public async start(node: RolloutNode): Promise<NodeLife> {
        this.kill(node);
        const runtime = createVirtualRuntime({
            name: node.name,
            dataCentre: node.dataCentre,
            network: this.network,
            random: this.random.fork(`${this.clock.nowMs()}`),
            eventCapacity: EVENT_CAPACITY,
        });
        const self: MemberIdentity = {
            role: node.role,
            name: branded<InstanceId>(node.name),
            dataCentre: branded<DataCentreId>(node.dataCentre),
            address: branded<Address>(node.address),
        };
        const plane = startControlPlane({
            runtime,
            self,
            sharedKey: SHARED_KEY,
            platform: this.platformFor(runtime),
            store: this.cache.createStore(runtime.events),
        });
        const { store, membership } = plane;
        const getStatus = createStatusReader({ self, store, membership, clock: runtime.clock });
        const operator = bindService(OperatorService, { getStatus });
        await runtime.network.listen(self.address, [...plane.services, operator]);
        const life: NodeLife = { node, runtime, plane, startedMs: this.clock.nowMs(), readyMs: undefined };
        this.lives.set(node.name, life);
        plane.store.onChange(({ revision }) => {
            life.readyMs ??= this.clock.nowMs();
            this.options.onAccepted?.(life, revision);
        });
        return life;
    }

    /**
     * Kills a process.
     *
     * @param node - the process
     */
    public kill(node: RolloutNode): void {
        const life = this.lives.get(node.name);
        if (life) {
            this.network.kill(life.runtime.endpoint);
            this.lives.delete(node.name);
        }
    }

    /**
     * Starts processes one after the other in random order, over a time.
     *
     * @param nodes - the processes
     * @param durationMs - time over which they start, in milliseconds
     */
    public async startAll(nodes: readonly RolloutNode[], durationMs: number): Promise<void> {
        for (const node of nodes) {
            await this.start(node);
            await this.clock.advance(durationMs / nodes.length);
        }
    }

    /**
     * Cuts a data centre off from all others and from the platform.
     *
     * @param dataCentre - the data centre
     * @returns a function that heals the cut
     */
    public cutOff(dataCentre: string): () => void {
        const heal = this.links.cut(
            endpoint => endpoint.dataCentre === dataCentre,
            endpoint => endpoint.dataCentre !== dataCentre,
        );
        this.cutFromPlatform.add(dataCentre);
        return () => {
            heal();
            this.cutFromPlatform.delete(dataCentre);
        };
    }

    private list(): void {
        this.platform.setInstances(this.nodes.map(node => ({
            name: branded<InstanceId>(node.name),
            role: node.role,
            dataCentre: branded<DataCentreId>(node.dataCentre),
            address: branded<Address>(node.address),
            isLeaving: false,
        })));
    }

    /** The platform as a process sees it: answers wait while the process is paused, and cuts hide it. */
    private platformFor(runtime: VirtualRuntime): Platform {
        const { dataCentre } = runtime.endpoint;
        const requireReachable = (): void => {
            if (this.cutFromPlatform.has(dataCentre)) {
                throw new UnreachableError("the platform cannot be reached");
            }
        };
        const seen = <T>(read: () => Promise<T>): Promise<T> => {
            const { promise, resolve, reject } = createDeferred<T>();
            const run = async (): Promise<void> => {
                try {
                    requireReachable();
                    const value = await read();
                    requireReachable();
                    runtime.process.run(() => resolve(value));
                }
                catch (error) {
                    runtime.process.run(() => reject(error));
                }
            };
            void run();
            return promise;
        };
        return {
            watchRules: (...args) => seen(() => this.platform.watchRules(...args)),
            watchInstances: (...args) => seen(() => this.platform.watchInstances(...args)),
        };
    }
}
