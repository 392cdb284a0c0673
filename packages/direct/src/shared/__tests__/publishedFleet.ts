/**
 * Instances on one virtual clock that watch one platform store and exchange reports, with backend servers and an
 * operator that write to the store. The store can return from an older copy.
 */

import {
    type Address,
    type BackendServerId,
    branded,
    createRandomSource,
    type DataCentreId,
    ProtocolError,
    type RandomSource,
    sleep,
} from "@magnolialock/kernel";
import { RevisionedStore, type StoreCopy, VirtualClock } from "@magnolialock/test-support";
import type { ItemContent, PublishedState } from "../../types/publishedState.ts";
import { configuration, ORDERS, serverEntry } from "./directFixture.ts";
import { StateInstance, type StateWorld } from "./stateInstance.ts";

const DATAGRAM_DELAY_MS = 1;
/** Time between two writes of a live server, in milliseconds. */
const HEARTBEAT_MS = 1_200;
/** Time of silence after which the store removes the entry of a server, in milliseconds. */
const LEASE_MS = 3 * HEARTBEAT_MS;
const CONFIGURATION_KEY = "op/config";
const SERVER_PREFIX = "servers/";
const OUT_PREFIX = "op/out/";

interface WrittenServer {
    readonly id: string;
    state: "ready" | "draining" | "gone";
    nextWriteMs: number;
    silentSinceMs: number | undefined;
}

/** Options of a {@link PublishedFleet}. */
export interface PublishedFleetOptions {
    readonly instances: number;
    readonly servers: number;
    readonly dataCentres?: number;
    readonly seed?: number;
    /** Whether the store names its era. */
    readonly namesEra?: boolean;
}

/** Instances, the store, its writers, and what must hold at every moment. */
export class PublishedFleet implements StateWorld, Disposable {
    public readonly clock = new VirtualClock();
    public readonly random: RandomSource;
    public readonly platform = new RevisionedStore(this.clock);
    public readonly instances: StateInstance[] = [];
    /** Content of each text that was written. */
    public readonly contents = new Map<string, ItemContent>();
    /** Calls to the store. */
    public readonly calls: { readonly atMs: number; readonly instance: string; }[] = [];
    public isStoreDown = false;
    /** Changes each time connections to the store are closed. */
    public life = 0;
    /**
     * Time at which the connections to the store that were open then have gone silent; negative if they have not, infinite
     * while the store answers nobody.
     */
    public silentSinceMs = -1;
    /** Promises that were broken, one line each. */
    public readonly violations = new Set<string>();
    /** Tells whether a datagram or call between two instances is lost. */
    public isCut: (from: number, to: number) => boolean = () => false;
    /** Time from which instances must know all writes so far, in milliseconds. */
    public checkedFromMs = Number.POSITIVE_INFINITY;
    /** Tells whether an instance may not know all writes yet. */
    public isUnchecked: (instance: StateInstance) => boolean = () => false;
    /** Data centres of servers that the operator has taken out. */
    public readonly out = new Set<string>();
    private readonly writtenServers = new Map<string, WrittenServer>();
    private readonly indexes = new Map<Address, number>();
    private readonly inForce = new Map<StateInstance, number>();
    private readonly stopping = new AbortController();
    private writtenConfiguration = 0;

    public constructor(public readonly options: PublishedFleetOptions) {
        this.random = createRandomSource(options.seed ?? 1);
        this.writeConfiguration(1);
        for (let index = 0; index < options.servers; index++) {
            this.addServer(`server-${index}`);
        }
        for (let index = 0; index < options.instances; index++) {
            this.startInstance(index);
        }
        const addresses = this.instances.map((_, index) => this.addressOf(index));
        for (const { exchange } of this.instances) {
            // A fleet of that size has been running for long.
            exchange.addSeeds(addresses);
        }
        void this.writeHeartbeats();
    }

    /** Starts or replaces an instance. */
    public startInstance(index: number): StateInstance {
        this.instances[index]?.kill();
        const instance = new StateInstance(this, index);
        this.instances[index] = instance;
        this.indexes.set(this.addressOf(index), index);
        instance.start();
        return instance;
    }

    /** Writes a version of the configuration, as the operator does. */
    public writeConfiguration(version: number): void {
        this.writtenConfiguration = version;
        const text = `version ${version}`;
        this.contents.set(`${CONFIGURATION_KEY} ${text}`, {
            kind: "configuration",
            configuration: configuration({ version }),
        });
        this.platform.put(CONFIGURATION_KEY, text);
    }

    /** Takes a data centre out of service, or puts it back. */
    public setOut(dataCentre: string, isOut: boolean): void {
        const key = `${OUT_PREFIX}${dataCentre}`;
        this.contents.set(`${key} out`, {
            kind: "outDataCentre",
            dataCentre: branded<DataCentreId>(dataCentre),
        });
        if (isOut) {
            this.out.add(dataCentre);
            this.platform.put(key, "out");
        }
        else {
            this.out.delete(dataCentre);
            this.platform.remove(key);
        }
    }

    /** Starts a server, which registers itself. */
    public addServer(id: string): void {
        const server: WrittenServer = { id, state: "ready", nextWriteMs: 0, silentSinceMs: undefined };
        this.writtenServers.set(id, server);
        this.writeServer(server);
    }

    /** A server announces that it leaves. */
    public drainServer(id: string): void {
        const server = this.writtenServers.get(id) as WrittenServer;
        server.state = "draining";
        this.writeServer(server);
    }

    /** A server leaves. */
    public removeServer(id: string): void {
        (this.writtenServers.get(id) as WrittenServer).state = "gone";
        this.platform.remove(`${SERVER_PREFIX}${id}`);
    }

    /** A server ends without a word. */
    public crashServer(id: string): void {
        (this.writtenServers.get(id) as WrittenServer).state = "gone";
    }

    /**
     * The store goes away and returns from a copy; servers write themselves again with their next heartbeats.
     *
     * @param copy - the copy
     * @param awayMs - time for which it is away
     */
    public async restoreStore(copy: StoreCopy, awayMs: number): Promise<void> {
        this.isStoreDown = true;
        this.life++;
        await this.clock.advance(awayMs);
        this.platform.restore(copy);
        this.isStoreDown = false;
    }

    /** The store answers nobody for a time; calls that are open meanwhile, or begin then, are never answered. */
    public async silenceStore(durationMs: number): Promise<void> {
        this.silentSinceMs = Number.POSITIVE_INFINITY;
        await this.clock.advance(durationMs);
        this.silentSinceMs = this.clock.nowMs();
    }

    /** The operator writes again what it had written. */
    public rewriteOperatorItems(): void {
        this.writeConfiguration(this.writtenConfiguration);
        for (const dataCentre of [0, 1, 2].map(number => this.dataCentreOf(number))) {
            const isPublished = this.platform.textOf(`${OUT_PREFIX}${dataCentre}`) !== undefined;
            if (isPublished || this.out.has(dataCentre)) {
                this.setOut(dataCentre, this.out.has(dataCentre));
            }
        }
    }

    public pause(durationMs: number): Promise<void> {
        return new Promise(resolve => this.clock.setTimer(durationMs, resolve));
    }

    /** Advances the clock and checks at short intervals what must always hold. */
    public async advance(durationMs: number): Promise<void> {
        const endMs = this.clock.nowMs() + durationMs;
        while (this.clock.nowMs() < endMs) {
            await this.clock.advance(Math.min(100, endMs - this.clock.nowMs()));
            this.check();
        }
    }

    /** Instances that have a version in force, or a newer one. */
    public countInForce(version: number): number {
        return this.instances.filter(instance => instance.version >= version).length;
    }

    /** Greatest number of calls to the store within a second, after a time. */
    public mostCallsPerS(afterMs: number): number {
        const times = this.calls.map(({ atMs }) => atMs).filter(atMs => atMs >= afterMs);
        let first = 0;
        return times.reduce((most, atMs, index) => {
            while ((times[first] ?? atMs) <= atMs - 1_000) {
                first++;
            }
            return Math.max(most, index + 1 - first);
        }, 0);
    }

    public addressOf(index: number): Address {
        return branded<Address>(`10.9.${Math.floor(index / 200)}.${index % 200 + 1}:7340`);
    }

    public dataCentreOf(index: number): DataCentreId {
        return branded<DataCentreId>(`centre-${index % (this.options.dataCentres ?? 1)}`);
    }

    public deliver(from: number, to: Address, bytes: Uint8Array): void {
        const receiver = this.indexOf(to);
        if (receiver === undefined || this.isCut(from, receiver)) {
            return;
        }
        this.clock.setTimer(DATAGRAM_DELAY_MS, () => {
            const instance = this.instances[receiver];
            instance?.clock.run(() => instance.exchange.receive(this.addressOf(from), bytes));
        });
    }

    public async fetchState(from: number, peer: Address, signal: AbortSignal): Promise<PublishedState> {
        const receiver = this.indexOf(peer);
        await sleep(this.clock, DATAGRAM_DELAY_MS, this.stopping.signal);
        const instance = receiver === undefined ? undefined : this.instances[receiver];
        if (!instance?.clock.isAlive || receiver === undefined || this.isCut(from, receiver)) {
            // A machine without power, or behind a partition, does not even refuse a connection.
            await sleep(this.clock, Number.MAX_SAFE_INTEGER, signal);
            throw new ProtocolError("the instance does not answer");
        }
        return JSON.parse(JSON.stringify(instance.store.export())) as PublishedState;
    }

    public [Symbol.dispose](): void {
        this.stopping.abort();
        this.instances.forEach(instance => instance.kill());
    }

    private indexOf(address: Address): number | undefined {
        return this.indexes.get(address);
    }

    private async writeHeartbeats(): Promise<void> {
        const { signal } = this.stopping;
        while (!signal.aborted) {
            if (!this.isStoreDown) {
                this.writtenServers.forEach(server => this.writeHeartbeat(server));
            }
            await sleep(this.clock, 100, signal).catch(() => {});
        }
    }

    private writeHeartbeat(server: WrittenServer): void {
        const nowMs = this.clock.nowMs();
        const text = this.platform.textOf(`${SERVER_PREFIX}${server.id}`);
        if (server.state === "gone") {
            server.silentSinceMs = text === undefined ? undefined : server.silentSinceMs ?? nowMs;
            if (server.silentSinceMs !== undefined && nowMs - server.silentSinceMs >= LEASE_MS) {
                this.platform.remove(`${SERVER_PREFIX}${server.id}`);
            }
        }
        else if (nowMs >= server.nextWriteMs) {
            server.nextWriteMs = nowMs + HEARTBEAT_MS * (0.7 + 0.3 * this.random.nextFloat());
            if (text !== server.state) {
                this.writeServer(server);
            }
        }
    }

    private writeServer({ id, state }: WrittenServer): void {
        if (state === "gone") {
            return;
        }
        const key = `${SERVER_PREFIX}${id}`;
        const number = Number(id.split("-")[1]);
        this.contents.set(`${key} ${state}`, {
            kind: "server",
            server: serverEntry(id, ORDERS, {
                address: branded<Address>(`10.2.${Math.floor(number / 200)}.${number % 200 + 1}:80`),
                dataCentre: this.dataCentreOf(number),
                state,
            }),
        });
        this.platform.put(key, state);
    }

    private check(): void {
        const leaving = [...this.writtenServers.values()].filter(({ state }) => state !== "ready");
        const live = [...this.writtenServers.values()].filter(({ state }) => state === "ready");
        const now = `${(this.clock.nowMs() / 1_000).toFixed(1)} s`;
        for (const instance of this.instances) {
            const { index, isReady, name, store, version } = instance;
            if (version < (this.inForce.get(instance) ?? 0)) {
                this.violations.add(`${now}: version ${version} at ${name} is older than before`);
            }
            this.inForce.set(instance, version);
            if (!isReady || this.isUnchecked(instance) || this.clock.nowMs() < this.checkedFromMs) {
                continue;
            }
            const servers = new Set(instance.directory.candidates(ORDERS).map(({ entry }) => entry.id));
            const outCentres = store.outDataCentres();
            for (const { id } of leaving) {
                if (servers.has(branded<BackendServerId>(id))) {
                    this.violations.add(`${id} is leaving and gets requests from ${name}`);
                }
            }
            for (const { id } of live) {
                const dataCentre = this.dataCentreOf(Number(id.split("-")[1]));
                if (!outCentres.has(dataCentre) && !servers.has(branded<BackendServerId>(id))) {
                    this.violations.add(`${id} is alive and vanished at ${name}`);
                }
            }
            for (const dataCentre of [0, 1, 2].map(number => this.dataCentreOf(number))) {
                if (outCentres.has(dataCentre) !== this.out.has(dataCentre)) {
                    this.violations.add(
                        `${dataCentre} is out or in against the operator at ${name} (${index})`,
                    );
                }
            }
        }
    }
}
