/**
 * Several direct entries on one virtual clock that exchange reports, in front of model servers that crash.
 */

import {
    type Address,
    branded,
    createRandomSource,
    type DataCentreId,
    type RandomSource,
} from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import type { ProbeResult, UpstreamCall, UpstreamConsumer, UpstreamRequest } from "../../types/call.ts";
import type { ServiceSpec } from "../../types/publishedState.ts";
import type { FleetView } from "../fleetAllotment.ts";
import { PeerExchange } from "../peerExchange.ts";
import {
    configuration,
    DirectFixture,
    DRAFTS,
    type FakeReply,
    NAMES,
    NO_STORE_WATCH,
    ORDERS,
    serverEntry,
    serviceSpec,
} from "./directFixture.ts";
import {
    DATAGRAM_DELAY_MS,
    type FleetArrival,
    FleetAttempt,
    type FleetNotice,
    FleetServer,
    type ServerWorld,
} from "./fleetServer.ts";

const EXPERTS = { sets: 1, experts: 4, placesPerRank: 2, newPerPreparation: 1, copyMs: 10 };

/** One entry of the fleet. */
export class FleetEntry extends DirectFixture {
    public readonly exchange: PeerExchange;
    /** Bytes that its exchange has sent. */
    public sentBytes = 0;

    public constructor(
        private readonly owner: DirectFleet,
        public readonly index: number,
        spec: ServiceSpec,
    ) {
        super(configuration({ services: [spec] }), `entry-${index + 1}`, owner.clock);
        const { context, directory, events, store } = this;
        const address = owner.addressOf(index);
        this.exchange = new PeerExchange({
            runtime: {
                clock: owner.clock,
                events,
                random: owner.random.fork(`entry ${index} ${owner.clock.nowMs()}`),
            },
            settings: {
                ...context.options.settings,
                peers: address,
                dataCentre: owner.dataCentreOf(index),
                seeds: [owner.addressOf(0), owner.addressOf(1)],
            },
            store,
            directory,
            services: () => context.serviceStates(),
            news: context.news,
            fetchState: async () => store.export(),
            onFetched: () => {},
            storeWatch: NO_STORE_WATCH,
        });
        void this.exchange.run({
            send: (to, bytes) => {
                this.sentBytes += bytes.length;
                owner.deliver(address, to, bytes);
            },
            [Symbol.asyncDispose]: async () => {},
        });
    }

    protected override knownFleet(): FleetView {
        return this.exchange.fleet;
    }

    protected override knownDataCentres(): readonly DataCentreId[] {
        return this.exchange.aliveDataCentres;
    }

    public override start(
        _server: string,
        address: Address,
        request: UpstreamRequest,
        consumer: UpstreamConsumer,
    ): UpstreamCall {
        return new FleetAttempt(this.owner, this.owner.serverAt(address), this.index, request, consumer);
    }

    /** Tells whether a connection to an address is accepted. */
    public override async probe(address: Address): Promise<ProbeResult> {
        await this.owner.pause(DATAGRAM_DELAY_MS);
        return this.owner.serverAt(address)?.isUp ? "accepted" : "refused";
    }
}

/** Options of a {@link DirectFleet}. */
export interface DirectFleetOptions {
    readonly instances: number;
    readonly servers: number;
    /** Number of groups of model servers; 0 if they form none. */
    readonly groups?: number;
    /** Whether a server that restarts keeps its identifier. */
    readonly keepsServerIds?: boolean;
    readonly dataCentres?: number;
    readonly seed?: number;
    /** Whether the servers are of a plain service, whose requests have no prompt. */
    readonly isPlain?: boolean;
}

/** A request with its reply. */
export interface FleetRequest {
    readonly sentMs: number;
    readonly parts: readonly string[];
    readonly reply: FakeReply;
}

/** Entries and model servers. */
export class DirectFleet implements Disposable, ServerWorld {
    public readonly clock = new VirtualClock();
    public readonly random: RandomSource;
    public readonly entries: FleetEntry[] = [];
    public readonly servers: FleetServer[] = [];
    /** Requests that reached a server. */
    public readonly arrivals: FleetArrival[] = [];
    /** Requests that a server turned away with `Retry-After`. */
    public readonly sheds: FleetNotice[] = [];
    /** Answers in which a server said something about its leaving. */
    public readonly leavingHeard: FleetNotice[] = [];
    /** Servers that crashed because of a part. */
    public readonly crashes: { readonly atMs: number; readonly server: string; }[] = [];
    /** Parts that crash each server that begins an answer on them. */
    public readonly badParts = new Set<string>();
    public readonly requests: FleetRequest[] = [];
    /** Returns whether a datagram between two entries is lost. */
    public isLost: (from: number, to: number) => boolean = () => false;
    private readonly indexes = new Map<Address, number>();
    private nextRequest = 1;
    private readonly spec: ServiceSpec;

    public constructor(public readonly options: DirectFleetOptions) {
        this.random = createRandomSource(options.seed ?? 1);
        const groupCount = options.groups ?? 0;
        const groups = Array.from({ length: groupCount }, () => ({ crashedMs: 0, openMs: 0 }));
        for (let index = 0; index < options.servers; index++) {
            const address = branded<Address>(`10.2.${Math.floor(index / 200)}.${index % 200 + 1}:80`);
            this.servers.push(
                new FleetServer(this, `server-${index}`, address, groups[index % (groupCount || 1)]),
            );
        }
        this.spec = options.isPlain
            ? serviceSpec(ORDERS)
            : serviceSpec(DRAFTS, {
                engine: { experts: groupCount > 0 ? EXPERTS : undefined, timing: undefined },
            });
        for (let index = 0; index < options.instances; index++) {
            this.startEntry(index);
        }
        // A fleet of that size has been running for long.
        const addresses = this.entries.map((_, index) => this.addressOf(index));
        for (const { exchange } of this.entries) {
            exchange.addSeeds(addresses);
        }
    }

    /** Replaces an entry by a new process that knows nothing yet. */
    public startEntry(index: number): void {
        this.entries[index]?.exchange[Symbol.dispose]();
        this.indexes.set(this.addressOf(index), index);
        const entry = new FleetEntry(this, index, this.spec);
        this.entries[index] = entry;
        for (const server of this.servers) {
            entry.publish(server.name, { kind: "server", server: this.publishedEntry(server) });
        }
        this.nameGroups(entry);
    }

    public publishServer(server: FleetServer, _oldId: string): void {
        for (const entry of this.entries) {
            entry.remove(server.name);
            entry.publish(server.name, { kind: "server", server: this.publishedEntry(server) });
            this.nameGroups(entry);
        }
    }

    /** Sends a request to an entry; the last part is added, as each request has its own. */
    public send(entry: number, ...parts: readonly string[]): FleetRequest {
        const own = `f${this.nextRequest++}`;
        const header = [...parts, own].map(part => `${part}:40`).join(",");
        const { reply } = (this.entries[entry] as FleetEntry).send("draft", {
            [NAMES.promptParts]: header,
            [NAMES.requestId]: `call-${own}`,
        });
        const request = { sentMs: this.clock.nowMs(), parts, reply };
        this.requests.push(request);
        return request;
    }

    /**
     * Sends a request without a prompt to an entry.
     *
     * @param entry - index of the entry
     * @param target - route and what is asked for, `<route>/<subject>`
     * @param key - API key of the caller
     */
    public sendPlain(entry: number, target: string, key = "key-1"): FleetRequest {
        const { reply } = (this.entries[entry] as FleetEntry).send(target, {
            [NAMES.requestId]: `call-${this.nextRequest++}`,
            [NAMES.apiKey]: key,
        });
        const request = { sentMs: this.clock.nowMs(), parts: [target], reply };
        this.requests.push(request);
        return request;
    }

    /** The same as {@link DirectFleet.sendFor} for requests without a prompt. */
    public sendPlainFor(durationMs: number, perS: number, draw: () => string): Promise<void> {
        return this.repeatFor(durationMs, perS, entry => this.sendPlain(entry, draw()));
    }

    /**
     * Sends requests at random entries.
     *
     * @param durationMs - virtual time
     * @param perS - requests a second over the fleet
     * @param draw - draws the shared parts of one request
     */
    public sendFor(durationMs: number, perS: number, draw: () => readonly string[]): Promise<void> {
        return this.repeatFor(durationMs, perS, entry => this.send(entry, ...draw()));
    }

    private async repeatFor(durationMs: number, perS: number, send: (entry: number) => void): Promise<void> {
        const endMs = this.clock.nowMs() + durationMs;
        while (this.clock.nowMs() < endMs) {
            send(this.random.nextInt(0, this.entries.length - 1));
            await this.clock.advance(1_000 / perS * (0.5 + this.random.nextFloat()));
        }
    }

    /** Number of requests with a part that reached servers after a time. */
    public arrivalsAfter(part: string, afterMs: number): number {
        return this.arrivals.filter(({ atMs, parts }) => atMs > afterMs && parts.includes(part)).length;
    }

    /** Largest number of requests that reached a server within any span of a length, after a time. */
    public mostArrivals(server: FleetServer, spanMs: number, afterMs: number): number {
        const times = this.arrivals.filter(({ atMs, server: name }) =>
            name === server.name && atMs >= afterMs
        )
            .map(({ atMs }) => atMs);
        return times.reduce((most, startMs, index) => {
            const count = times.slice(index).findIndex(atMs => atMs > startMs + spanMs);
            return Math.max(most, count < 0 ? times.length - index : count);
        }, 0);
    }

    /** Share of the requests of a time span, without the bad ones, whose answer began. */
    public begunShare(fromMs: number, toMs: number): number {
        const sound = this.requests.filter(({ parts, sentMs }) =>
            sentMs >= fromMs && sentMs < toMs && !parts.some(part => this.badParts.has(part))
        );
        return sound.filter(({ reply }) => reply.text !== "" && reply.status === 200).length
            / Math.max(1, sound.length);
    }

    public pause(durationMs: number): Promise<void> {
        return new Promise(resolve => this.clock.setTimer(durationMs, resolve));
    }

    public addressOf(index: number): Address {
        return branded<Address>(`10.9.${Math.floor(index / 200)}.${index % 200 + 1}:7340`);
    }

    public dataCentreOf(index: number): DataCentreId {
        return branded<DataCentreId>(`centre-${index % (this.options.dataCentres ?? 1)}`);
    }

    public serverAt(address: Address): FleetServer | undefined {
        return this.servers.find(server => server.address === address);
    }

    public deliver(from: Address, to: Address, bytes: Uint8Array): void {
        const receiver = this.indexes.get(to);
        const sender = this.indexes.get(from);
        if (receiver !== undefined && sender !== undefined && !this.isLost(sender, receiver)) {
            this.clock.setTimer(
                DATAGRAM_DELAY_MS,
                () => this.entries[receiver]?.exchange.receive(from, bytes),
            );
        }
    }

    public [Symbol.dispose](): void {
        for (const { exchange } of this.entries) {
            exchange[Symbol.dispose]();
        }
    }

    private publishedEntry(server: FleetServer): ReturnType<typeof serverEntry> {
        const { address, bornMs, id } = server;
        return serverEntry(id, this.spec.name, { address, bornMs });
    }

    private nameGroups(entry: FleetEntry): void {
        const groups = [...new Set(this.servers.map(({ group }) => group))];
        for (const tracked of entry.directory.all()) {
            const group = this.serverAt(tracked.entry.address)?.group;
            tracked.groupName = group && `group-${groups.indexOf(group)}`;
        }
    }
}
