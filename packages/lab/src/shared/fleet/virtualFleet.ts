/**
 * A fleet of real entries and agents on the virtual clock, with simulated engines, services and platform.
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
import { settleInProcess } from "../standIns/settleInProcess.ts";
import { createEngineBackend, createPlainBackend } from "../standIns/simulatedBackends.ts";
import { SimulatedEngine, type SimulatedEngineOptions } from "../standIns/simulatedEngine.ts";
import { SimulatedPlainService } from "../standIns/simulatedPlainService.ts";
import { SimulatedPlatform } from "../standIns/simulatedPlatform.ts";
import type { FleetBackend, FleetEntry } from "./fleetMembers.ts";
import {
    type FleetChanges,
    type FleetServer,
    type FleetShape,
    formatFleetRules,
    listFleetServers,
} from "./fleetRules.ts";

/** Options of {@link VirtualFleet.start}. */
export interface VirtualFleetOptions {
    /** Size of the fleet. */
    readonly shape: FleetShape;
    /** Seed of all random numbers. */
    readonly seed: number;
    /** Name of the routing policy. */
    readonly policy?: string;
    /** Overrides of the engines' options. */
    readonly engineOptions?: Partial<SimulatedEngineOptions>;
    /** Whether the agents use admission control; experiments switch it off to measure its effect. */
    readonly hasAdmissionControl?: boolean;
    /** Whether processes share the configuration by gossip; if not, each reads it from the platform only. */
    readonly hasControlPlane?: boolean;
    /** Sinks for the events of all processes. */
    readonly sinks?: readonly EventSink[];
}

/** Shared key with which the control planes of the fleet authenticate each other. */
const CONTROL_PLANE_KEY = "virtual fleet";

/** Mirrors a promise into a process; it does not settle there while the process is paused or killed. */
const settleInRuntime = <T>(runtime: VirtualRuntime, promise: Promise<T>): Promise<T> =>
    settleInProcess(promise, action => runtime.process.run(action));

/** A whole fleet simulated in one operating-system process. */
export class VirtualFleet {
    /** Virtual clock of the fleet. */
    public readonly clock = new VirtualClock();
    /** Source of random numbers. */
    public readonly random: RandomSource;
    /** State of the links between processes. */
    public readonly links: LinkTable;
    /** Network between processes. */
    public readonly network: VirtualNetwork;
    /** Simulated platform. */
    public readonly platform: SimulatedPlatform;
    /** Backend servers with their agents, by the name of the server. */
    public readonly backends = new Map<string, FleetBackend>();
    /** Entries by name. */
    public readonly entries = new Map<string, FleetEntry>();
    private readonly options: VirtualFleetOptions;
    private readonly memberNames: string[] = [];
    private readonly isolatedDataCentres = new Set<string>();

    private constructor(options: VirtualFleetOptions) {
        this.options = options;
        this.random = createRandomSource(options.seed);
        this.links = new LinkTable({ random: this.random.fork("links") });
        this.network = new VirtualNetwork({ clock: this.clock, links: this.links });
        this.platform = new SimulatedPlatform({ clock: this.clock });
    }

    /**
     * Starts a fleet and publishes its rules.
     *
     * @param options - size, seed and routing policy
     * @returns the fleet
     */
    public static async start(options: VirtualFleetOptions): Promise<VirtualFleet> {
        const fleet = new VirtualFleet(options);
        fleet.publish();
        for (const server of listFleetServers(options.shape)) {
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
     * Publishes the fleet's rules as a new revision.
     *
     * @param changes - operators' changes
     */
    public publish(changes: FleetChanges = {}): void {
        this.platform.publish(Buffer.from(formatFleetRules(this.options.shape, changes)));
    }

    /**
     * Kills an agent and starts a new one in its place; its backend server keeps running.
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
     * Kills an entry and starts a new one in its place.
     *
     * @param name - name of the entry
     */
    public replaceEntry(name: string): void {
        const replaced = this.entries.get(name);
        if (replaced) {
            this.network.kill(replaced.runtime.endpoint);
            this.startEntry(name, replaced.dataCentre);
        }
    }

    /**
     * Stops an entry as SIGTERM does and starts a new one in its place once it has stopped.
     *
     * @param name - name of the entry
     */
    public async restartEntry(name: string): Promise<void> {
        const stopping = this.entries.get(name);
        if (stopping) {
            await stopping.entry.stop();
            this.replaceEntry(name);
        }
    }

    /**
     * Stops an agent as SIGTERM does and starts a new one in its place once it has stopped.
     *
     * @param serverName - name of the backend server
     */
    public async restartAgent(serverName: string): Promise<void> {
        await this.backends.get(serverName)?.agent.stop();
        await this.replaceAgent(serverName);
    }

    /**
     * Returns the clock of a process.
     *
     * @param name - name of an entry, or of the backend server of an agent
     * @returns clock of the process
     * @throws RangeError if the fleet has no such process
     */
    public processClockOf(name: string): ProcessClock {
        const runtime = this.entries.get(name)?.runtime ?? this.backends.get(name)?.runtime;
        if (!runtime) {
            throw new RangeError(`the fleet has no process "${name}"`);
        }
        return runtime.process;
    }

    /**
     * Pauses a process as SIGSTOP does.
     *
     * @param name - name of the entry, or of the agent's backend server
     */
    public pause(name: string): void {
        this.processClockOf(name).pause();
    }

    /**
     * Resumes a paused process.
     *
     * @param name - name of the entry, or of the agent's backend server
     */
    public resume(name: string): void {
        this.processClockOf(name).resume();
    }

    /**
     * Cuts the links of a data centre to the other data centres and to the platform.
     *
     * @param dataCentre - name of the data centre
     * @returns a function that restores the links
     */
    public isolateDataCentre(dataCentre: string): () => void {
        const healLinks = this.links.cut(
            endpoint => endpoint.dataCentre === dataCentre,
            endpoint => endpoint.dataCentre !== dataCentre,
        );
        this.isolatedDataCentres.add(dataCentre);
        return () => {
            healLinks();
            this.isolatedDataCentres.delete(dataCentre);
        };
    }

    /**
     * Sends a caller's request to an entry. Nothing happens if the fleet has no such entry.
     *
     * @param entryName - name of the entry
     * @param request - the request
     * @param consume - receives the events of the answer
     * @param signal - aborts if the caller gives up
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
                settleInRuntime(runtime, this.overPlatformLink(runtime, this.platform.watchRules(...args))),
            watchInstances: (...args) =>
                settleInRuntime(
                    runtime,
                    this.overPlatformLink(runtime, this.platform.watchInstances(...args)),
                ),
        };
    }

    /** Fails a call to the platform if the link of the process's data centre is cut at its start or end. */
    private async overPlatformLink<T>(runtime: VirtualRuntime, answer: Promise<T>): Promise<T> {
        const assertLinked = (): void => {
            if (this.isolatedDataCentres.has(runtime.endpoint.dataCentre)) {
                throw new UnreachableError("the link to the platform is cut");
            }
        };
        answer.catch(() => {});
        assertLinked();
        const value = await answer;
        assertLinked();
        return value;
    }

    private createRuntime(name: string, dataCentre: string): VirtualRuntime {
        return createVirtualRuntime({
            name,
            dataCentre,
            network: this.network,
            random: this.random,
            sinks: this.options.sinks,
        });
    }

    private controlPlaneAddress(name: string): Address {
        this.memberNames.push(...(this.memberNames.includes(name) ? [] : [name]));
        return branded<Address>(`10.3.0.${this.memberNames.indexOf(name) + 1}:7300`);
    }

    /** Starts the control plane of a process, which listens on an address of its own. */
    private async joinControlPlane(
        runtime: VirtualRuntime,
        role: MemberIdentity["role"],
        store: ConfigurationStore,
    ): Promise<void> {
        const { name, dataCentre } = runtime.endpoint;
        const address = this.controlPlaneAddress(name);
        const plane = await startControlPlane({
            runtime,
            store,
            sharedKey: CONTROL_PLANE_KEY,
            platform: this.platformFor(runtime),
            self: {
                address,
                role,
                name: branded<InstanceId>(name),
                dataCentre: branded<DataCentreId>(dataCentre),
            },
            seeds: this.memberNames.map(other => this.controlPlaneAddress(other)).filter(other =>
                other !== address
            ),
        });
        await runtime.network.listen(address, plane.services);
    }

    private startConfigurationStore(
        runtime: VirtualRuntime,
        role: MemberIdentity["role"],
    ): ConfigurationStore {
        const store = new ConfigurationStore({ events: runtime.events });
        if (this.options.hasControlPlane) {
            void this.joinControlPlane(runtime, role, store);
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
        const commonOptions = { clock: this.clock, random: this.random.fork(`backend ${server.name}`) };
        const engine = isModel
            ? new SimulatedEngine({
                ...commonOptions,
                coldLimit: limits.cold,
                warmLimit: limits.warm,
                ...this.options.engineOptions,
            })
            : undefined;
        const plain = isModel
            ? undefined
            : new SimulatedPlainService({ ...commonOptions, serviceMs: shape.plainServiceMs });
        const agentProcess = await this.startAgent(server, engine, plain);
        this.backends.set(server.name, { server, engine, plain, ...agentProcess });
    }

    private async startAgent(
        server: FleetServer,
        engine: SimulatedEngine | undefined,
        plain: SimulatedPlainService | undefined,
    ): Promise<{ readonly runtime: VirtualRuntime; readonly agent: Agent; }> {
        const runtime = this.createRuntime(`agent-${server.name}`, server.dataCentre);
        const runInProcess = (action: () => void): void => runtime.process.run(action);
        const backend = engine
            ? createEngineBackend(engine, runInProcess)
            : createPlainBackend(plain as SimulatedPlainService, runInProcess);
        const agent = await createAgent({
            runtime,
            backend,
            server: branded<BackendServerId>(server.name),
            listen: branded<Address>(server.agent),
            configuration: this.startConfigurationStore(runtime, "agent"),
            hasAdmissionControl: this.options.hasAdmissionControl,
        });
        return { runtime, agent };
    }

    private startEntry(name: string, dataCentre: string): void {
        const runtime = this.createRuntime(name, dataCentre);
        const entry = createEntry({
            runtime,
            instance: branded<InstanceId>(name),
            dataCentre: branded<DataCentreId>(dataCentre),
            configuration: this.startConfigurationStore(runtime, "entry"),
            policy: this.options.policy,
        });
        this.entries.set(name, { name, dataCentre, runtime, entry });
    }
}
