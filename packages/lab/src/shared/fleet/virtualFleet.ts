/**
 * A fleet of real entries and agents on the virtual clock, before stand-ins of engines, services and platform.
 *
 * @packageDocumentation
 */

import { type Agent, createAgent } from "@magnolialock/agent";
import {
    ConfigurationStore,
    type MemberIdentity,
    type Platform,
    startControlPlane,
    watchRulesStandalone,
} from "@magnolialock/control";
import { type AnswerEvent, type CallerRequest, createEntry } from "@magnolialock/entry";
import {
    type Address,
    type BackendServerId,
    branded,
    createDeferred,
    createRandomSource,
    type DataCentreId,
    type EventSink,
    type InstanceId,
    type RandomSource,
    UnreachableError,
} from "@magnolialock/kernel";
import {
    createVirtualRuntime,
    LinkTable,
    type ProcessClock,
    VirtualClock,
    VirtualNetwork,
    type VirtualRuntime,
} from "@magnolialock/test-support";
import { deliverOutcome } from "../standIns/deliver.ts";
import { EngineModel, type EngineModelOptions } from "../standIns/engineModel.ts";
import { createEngineBackend, createPlainBackend } from "../standIns/modelBackends.ts";
import { PlainModel } from "../standIns/plainModel.ts";
import { PlatformModel } from "../standIns/platformModel.ts";
import type { FleetBackend, FleetEntry } from "./fleetMembers.ts";
import {
    type FleetChanges,
    fleetRules,
    type FleetServer,
    fleetServers,
    type FleetShape,
} from "./fleetRules.ts";

/** Options of {@link VirtualFleet}. */
export interface VirtualFleetOptions {
    /** Size of the fleet. */
    readonly shape: FleetShape;
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Name of the routing policy. */
    readonly policy?: string;
    /** Speeds of the engines. */
    readonly engine?: Partial<EngineModelOptions>;
    /** Whether the agents control admission; experiments switch it off to measure what it brings. */
    readonly hasAdmissionControl?: boolean;
    /** Whether processes share the configuration by gossip; without it each reads the platform only. */
    readonly hasControlPlane?: boolean;
    /** Where all processes log. */
    readonly sinks?: readonly EventSink[];
}

/** Key that the control planes of a fleet share. */
const PLANE_KEY = "virtual fleet";

/** Lets a process see an outcome only while it runs. */
const seenBy = <T>(runtime: VirtualRuntime, promise: Promise<T>): Promise<T> =>
    deliverOutcome(promise, action => runtime.process.run(action));

/** A fleet in one process. */
export class VirtualFleet {
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
    /** Backend servers and agents by server name. */
    public readonly backends = new Map<string, FleetBackend>();
    /** Entries by name. */
    public readonly entries = new Map<string, FleetEntry>();
    private readonly options: VirtualFleetOptions;
    private readonly planeNames: string[] = [];
    private readonly platformCuts = new Set<string>();

    private constructor(options: VirtualFleetOptions) {
        this.options = options;
        this.random = createRandomSource(options.seed);
        this.links = new LinkTable({ random: this.random.fork("links") });
        this.network = new VirtualNetwork({ clock: this.clock, links: this.links });
        this.platform = new PlatformModel({ clock: this.clock });
    }

    /**
     * Starts a fleet and publishes its rules.
     *
     * @param options - size, seed and policy
     * @returns the fleet
     */
    public static async start(options: VirtualFleetOptions): Promise<VirtualFleet> {
        const fleet = new VirtualFleet(options);
        fleet.publish();
        for (const server of fleetServers(options.shape)) {
            await fleet.addBackend(server);
        }
        for (const dataCentre of options.shape.dataCentres) {
            for (let index = 1; index <= options.shape.entriesPerDataCentre; index++) {
                fleet.startEntry(`entry-${dataCentre}-${index}`, dataCentre);
            }
        }
        return fleet;
    }

    /**
     * Publishes the fleet's rules.
     *
     * @param changes - operators' changes
     */
    public publish(changes: FleetChanges = {}): void {
        this.platform.publish(Buffer.from(fleetRules(this.options.shape, changes)));
    }

    /**
     * Replaces an agent by a new life; its backend server goes on.
     *
     * @param serverName - name of the backend server
     */
    public async replaceAgent(serverName: string): Promise<void> {
        const backend = this.backends.get(serverName);
        if (backend) {
            this.network.kill(backend.runtime.endpoint);
            Object.assign(backend, await this.startAgent(backend.server, backend.engine, backend.plain));
        }
    }

    /**
     * Replaces an entry by a new life.
     *
     * @param name - its name
     */
    public replaceEntry(name: string): void {
        const old = this.entries.get(name);
        if (old) {
            this.network.kill(old.runtime.endpoint);
            this.startEntry(name, old.dataCentre);
        }
    }

    /**
     * Stops an entry as SIGTERM does and starts a new life in its place once it has ended.
     *
     * @param name - its name
     */
    public async restartEntry(name: string): Promise<void> {
        const old = this.entries.get(name);
        if (old) {
            await old.entry.stop();
            this.replaceEntry(name);
        }
    }

    /**
     * Stops an agent as SIGTERM does and starts a new life in its place once it has ended.
     *
     * @param serverName - name of the backend server
     */
    public async restartAgent(serverName: string): Promise<void> {
        await this.backends.get(serverName)?.agent.stop();
        await this.replaceAgent(serverName);
    }

    /**
     * Finds a process by its name: an entry, a backend server's agent by the server's name.
     *
     * @param name - its name
     * @returns its clock
     * @throws RangeError when there is none
     */
    public processOf(name: string): ProcessClock {
        const runtime = this.entries.get(name)?.runtime ?? this.backends.get(name)?.runtime;
        if (!runtime) {
            throw new RangeError(`the fleet has no process "${name}"`);
        }
        return runtime.process;
    }

    /**
     * Pauses a process as SIGSTOP does.
     *
     * @param name - name of the entry or of the agent's backend server
     */
    public pause(name: string): void {
        this.processOf(name).pause();
    }

    /**
     * Wakes a paused process.
     *
     * @param name - name of the entry or of the agent's backend server
     */
    public wake(name: string): void {
        this.processOf(name).wake();
    }

    /**
     * Cuts a data centre off from the others and from the platform.
     *
     * @param dataCentre - its name
     * @returns a function that heals the cut
     */
    public cutOff(dataCentre: string): () => void {
        const healLinks = this.links.cut(
            endpoint => endpoint.dataCentre === dataCentre,
            endpoint => endpoint.dataCentre !== dataCentre,
        );
        this.platformCuts.add(dataCentre);
        return () => {
            healLinks();
            this.platformCuts.delete(dataCentre);
        };
    }

    /**
     * Sends a caller's request to an entry.
     *
     * @param entryName - the entry
     * @param request - the request
     * @param consume - gets the answer's pieces
     * @param signal - aborts when the caller gives up
     */
    public async call(
        entryName: string,
        request: CallerRequest,
        consume: (event: AnswerEvent) => void,
        signal: AbortSignal = new AbortController().signal,
    ): Promise<void> {
        const target = this.entries.get(entryName);
        if (!target) {
            return;
        }
        const { runtime, entry } = target;
        const served = createDeferred<void>();
        runtime.process.run(() => entry.serve(request, signal, consume).then(served.resolve, served.reject));
        await served.promise;
    }

    private platformFor(runtime: VirtualRuntime): Platform {
        return {
            watchRules: (...args) =>
                seenBy(runtime, this.acrossCut(runtime, this.platform.watchRules(...args))),
            watchInstances: (...args) =>
                seenBy(runtime, this.acrossCut(runtime, this.platform.watchInstances(...args))),
        };
    }

    /** Fails a call to the platform from a data centre that is cut off, at its start or at its end. */
    private async acrossCut<T>(runtime: VirtualRuntime, answer: Promise<T>): Promise<T> {
        const requireLink = (): void => {
            if (this.platformCuts.has(runtime.endpoint.dataCentre)) {
                throw new UnreachableError("the platform is cut off");
            }
        };
        answer.catch(() => {});
        requireLink();
        const value = await answer;
        requireLink();
        return value;
    }

    private startRuntime(name: string, dataCentre: string): VirtualRuntime {
        return createVirtualRuntime({
            name,
            dataCentre,
            network: this.network,
            random: this.random,
            sinks: this.options.sinks,
        });
    }

    private planeAddress(name: string): Address {
        this.planeNames.push(...(this.planeNames.includes(name) ? [] : [name]));
        return branded<Address>(`10.3.0.${this.planeNames.indexOf(name) + 1}:7300`);
    }

    /** Starts the control plane of a process, on an address of its own. */
    private async startPlane(
        runtime: VirtualRuntime,
        role: MemberIdentity["role"],
        store: ConfigurationStore,
    ): Promise<void> {
        const { name, dataCentre } = runtime.endpoint;
        const address = this.planeAddress(name);
        const plane = await startControlPlane({
            runtime,
            store,
            sharedKey: PLANE_KEY,
            platform: this.platformFor(runtime),
            self: {
                address,
                role,
                name: branded<InstanceId>(name),
                dataCentre: branded<DataCentreId>(dataCentre),
            },
            seeds: this.planeNames.map(other => this.planeAddress(other)).filter(other => other !== address),
        });
        await runtime.network.listen(address, plane.services);
    }

    private startConfiguration(runtime: VirtualRuntime, role: MemberIdentity["role"]): ConfigurationStore {
        const store = new ConfigurationStore({ events: runtime.events });
        if (this.options.hasControlPlane) {
            void this.startPlane(runtime, role, store);
            return store;
        }
        const { signal } = new AbortController();
        void watchRulesStandalone({ runtime, store, signal, platform: this.platformFor(runtime) });
        return store;
    }

    private async addBackend(server: FleetServer): Promise<void> {
        const { shape } = this.options;
        const isModel = server.service === shape.modelService;
        const limits = isModel ? shape.modelLimits : shape.plainLimits;
        const common = { clock: this.clock, random: this.random.fork(`backend ${server.name}`) };
        const engine = isModel
            ? new EngineModel({
                ...common,
                coldLimit: limits.cold,
                warmLimit: limits.warm,
                ...this.options.engine,
            })
            : undefined;
        const plain = isModel ? undefined : new PlainModel({ ...common, serviceMs: shape.plainServiceMs });
        const life = await this.startAgent(server, engine, plain);
        this.backends.set(server.name, { server, engine, plain, ...life });
    }

    private async startAgent(
        server: FleetServer,
        engine: EngineModel | undefined,
        plain: PlainModel | undefined,
    ): Promise<{ readonly runtime: VirtualRuntime; readonly agent: Agent; }> {
        const runtime = this.startRuntime(`agent-${server.name}`, server.dataCentre);
        const deliver = (action: () => void): void => runtime.process.run(action);
        const backend = engine
            ? createEngineBackend(engine, deliver)
            : createPlainBackend(plain as PlainModel, deliver);
        const agent = await createAgent({
            runtime,
            backend,
            server: branded<BackendServerId>(server.name),
            listen: branded<Address>(server.agent),
            configuration: this.startConfiguration(runtime, "agent"),
            hasAdmissionControl: this.options.hasAdmissionControl,
        });
        return { runtime, agent };
    }

    private startEntry(name: string, dataCentre: string): void {
        const runtime = this.startRuntime(name, dataCentre);
        const entry = createEntry({
            runtime,
            instance: branded<InstanceId>(name),
            dataCentre: branded<DataCentreId>(dataCentre),
            configuration: this.startConfiguration(runtime, "entry"),
            policy: this.options.policy,
        });
        this.entries.set(name, { name, dataCentre, runtime, entry });
    }
}
