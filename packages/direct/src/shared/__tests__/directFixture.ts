/** A direct entry on a virtual clock, with backend servers and callers that are driven by the test. */

import {
    type Address,
    type BackendServerId,
    branded,
    type ClientAccountId,
    createRandomSource,
    type DataCentreId,
    EventLog,
    type InstanceId,
    type Revision,
    type ServiceName,
} from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import type {
    CallerReply,
    EndsObserver,
    FlatHeaders,
    IncomingCall,
    ProbeResult,
    ResponseHead,
    ServerIdentity,
    UpstreamCall,
    UpstreamClient,
    UpstreamConsumer,
    UpstreamEnd,
    UpstreamRequest,
} from "../../types/call.ts";
import type { CallHeaderNames } from "../../types/callHeaders.ts";
import type { DirectSettings } from "../../types/directSettings.ts";
import type {
    FleetConfiguration,
    ItemContent,
    PublishedServer,
    RouteRule,
    ServiceSpec,
} from "../../types/publishedState.ts";
import { noCallMetrics } from "../callMetrics.ts";
import { DirectContext } from "../directContext.ts";
import type { FleetView } from "../fleetAllotment.ts";
import type { StoreWatch } from "../peerExchange.ts";
import { PublishedStateStore } from "../publishedStateStore.ts";
import { serveCall } from "../serveCall.ts";
import { ServerDirectory } from "../serverDirectory.ts";
import type { FleetWatches } from "../watchSchedule.ts";

export const NAMES: CallHeaderNames = {
    requestId: "x-id",
    remainingMs: "x-left",
    lastEventId: "last-event-id",
    signature: "x-signature",
    account: "x-account",
    apiKey: "x-key",
    targetServer: "x-server",
    expectedVersion: "x-version",
    serverId: "x-server-id",
    notRun: "x-not-run",
    refusingServer: "x-fault",
    tokenUsage: "x-tokens",
    promptParts: "x-parts",
    serverLimit: "x-limit",
    leaving: "x-leaving",
    queuePriority: "x-rank",
};

/** Watch of the store of an instance that tells the others nothing. */
export const NO_STORE_WATCH: StoreWatch = {
    watchEndsMs: undefined,
    isSilent: false,
    silenceAgeMs: undefined,
    handleSilence: () => {},
};

/** Options of a watcher without other instances. */
export const LONE_WATCH = {
    fleetWatches: (): FleetWatches => ({ count: 1, place: 0, othersEndMs: [] }),
    onSilence: (): void => {},
};

export const DRAFTS = branded<ServiceName>("drafts");
export const ORDERS = branded<ServiceName>("orders");
const HERE = branded<DataCentreId>("here");
export const THERE = branded<DataCentreId>("there");

export const SETTINGS: DirectSettings = {
    instance: branded<InstanceId>("entry-1"),
    dataCentre: HERE,
    callers: branded<Address>("10.0.0.1:1"),
    readiness: branded<Address>("10.0.0.1:2"),
    metrics: undefined,
    peers: branded<Address>("10.0.0.1:3"),
    seeds: [],
    bounds: {
        retryRatio: 0.2,
        retrySlack: 100,
        retryWindowMs: 10_000,
        coldOvershoot: 1.5,
        coldSlack: 5,
        graceMs: 8_000,
    },
};

export const route = (name: string, changes: Partial<RouteRule> = {}): RouteRule => ({
    name,
    host: "shop.example",
    prefix: `/${name}/`,
    answer: "whole",
    repeat: "always",
    timeoutMs: 800,
    targetLatencyMs: 120,
    targetGapMs: undefined,
    priority: 2,
    maxAttempts: 2,
    isPublic: false,
    targets: [{ service: ORDERS, weight: 1 }],
    ...changes,
});

const STREAM: Partial<RouteRule> = {
    answer: "stream",
    repeat: "resume",
    timeoutMs: 8_000,
    targetLatencyMs: 400,
    targetGapMs: 120,
    targets: [{ service: DRAFTS, weight: 1 }],
};

export const serviceSpec = (name: ServiceName, changes: Partial<ServiceSpec> = {}): ServiceSpec => ({
    name,
    connectionLimit: 100,
    coldRequestsPerS: 0,
    engine: undefined,
    ...changes,
});

const ENGINE: ServiceSpec["engine"] = { experts: undefined, timing: undefined };

export const configuration = (changes: Partial<FleetConfiguration> = {}): FleetConfiguration => ({
    version: 1,
    routes: [route("status"), route("booking", { repeat: "never", maxAttempts: 1 }), route("draft", STREAM)],
    services: [serviceSpec(ORDERS), serviceSpec(DRAFTS, { engine: ENGINE })],
    accountsByKey: new Map([
        ["key-1", { account: branded<ClientAccountId>("shop"), priority: undefined }],
        ["key-2", { account: branded<ClientAccountId>("bakery"), priority: undefined }],
    ]),
    limits: { headerBytes: 16_384, bodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    ...changes,
});

export const serverEntry = (
    id: string,
    service: ServiceName,
    changes: Partial<PublishedServer> = {},
): PublishedServer => ({
    id: branded<BackendServerId>(id),
    service,
    address: branded<Address>(`10.1.0.${id.length}:80`),
    dataCentre: HERE,
    slots: 8,
    state: "ready",
    bornMs: undefined,
    ...changes,
});

/**
 * The fleet as one of its instances, `entry-1` to `entry-<size>`, knows it.
 */
export const fleetOf = (size: number, own = "entry-1"): FleetView => ({
    others: Array.from({ length: size }, (_, index) => `entry-${index + 1}`).filter(name => name !== own),
    size,
    isSettled: true,
});

/** An attempt that arrived at a backend server. */
export class FakeUpstream implements UpstreamCall {
    public readonly ended: Promise<UpstreamEnd>;
    public abortReason: string | undefined;
    private finish: (end: UpstreamEnd) => void = () => {};

    public constructor(
        public readonly server: string,
        public readonly request: UpstreamRequest,
        private readonly consumer: UpstreamConsumer,
    ) {
        this.ended = new Promise(resolve => this.finish = resolve);
    }

    public header(name: string): string | undefined {
        const { headers } = this.request;
        const index = headers.findIndex((text, position) =>
            position % 2 === 0 && text.toLowerCase() === name
        );
        return index < 0 ? undefined : headers[index + 1];
    }

    public sendHead(status: number, headers: ResponseHead["headers"] = {}): this {
        const id = this.header(NAMES.requestId);
        this.consumer.onHead({
            status,
            headers: { [NAMES.requestId]: id, [NAMES.signature]: "signed", ...headers },
        });
        return this;
    }

    public sendData(text: string): this {
        this.consumer.onData(Buffer.from(text));
        return this;
    }

    public complete(): void {
        this.finish({ kind: "complete" });
    }

    public breakConnection(): void {
        this.finish({ kind: "broken", message: "reset" });
    }

    public failToSend(): void {
        this.finish({ kind: "notSent", message: "refused" });
    }

    public respond(status: number, text = "answer", headers: ResponseHead["headers"] = {}): void {
        this.sendHead(status, headers).sendData(text).complete();
    }

    public refuse(headers: ResponseHead["headers"] = {}): void {
        this.respond(503, "", { [NAMES.notRun]: "1", [NAMES.signature]: undefined, ...headers });
    }

    public startStream(): this {
        return this.sendHead(200, { "content-type": "text/event-stream" });
    }

    public sendEvents(from: number, to: number): this {
        for (let id = from; id <= to; id++) {
            this.sendData(`id: ${id}\ndata: ${id}\n\n`);
        }
        return this;
    }

    public abort(reason: string): void {
        this.abortReason = reason;
        this.finish({ kind: "broken", message: reason });
    }

    public pause(): void {}

    public resume(): void {}
}

/** Reply that records what the caller received. */
export class FakeReply implements CallerReply {
    public readonly disconnected: AbortSignal;
    public readonly canStream = true;
    public head: ResponseHead | undefined;
    public text = "";
    public state: "open" | "whole" | "ended" | "broken" = "open";
    private readonly controller = new AbortController();

    public constructor() {
        this.disconnected = this.controller.signal;
    }

    public get status(): number | undefined {
        return this.head?.status;
    }

    public header(name: string): string | undefined {
        const value = this.head?.headers[name];
        return typeof value === "string" ? value : undefined;
    }

    public disconnect(): void {
        this.controller.abort();
    }

    public sendWhole(head: ResponseHead, body: Buffer): void {
        this.head = head;
        this.text = body.toString();
        this.state = "whole";
    }

    public startStream(head: ResponseHead): void {
        this.head = head;
    }

    public write(bytes: Buffer): boolean {
        this.text += bytes.toString();
        return true;
    }

    public onDrain(): void {}

    public end(): void {
        this.state = "ended";
    }

    public abort(): void {
        this.state = "broken";
    }
}

/** One direct entry under test; it records the attempts at its backend servers. */
export class DirectFixture implements UpstreamClient {
    public readonly clock: VirtualClock;
    public readonly events: EventLog;
    public readonly store: PublishedStateStore;
    public readonly directory: ServerDirectory;
    public readonly context: DirectContext;
    /** Attempts that arrived at backend servers, oldest first. */
    public readonly attempts: FakeUpstream[] = [];
    public sinceOutageMs = Number.POSITIVE_INFINITY;
    public fleet: FleetView = fleetOf(8);
    public peerDataCentres: readonly DataCentreId[] = [];
    private readonly contents = new Map<string, ItemContent>();
    private revision = 0;
    private nextRequest = 1;

    public constructor(
        start: FleetConfiguration | "none" = configuration(),
        name = "entry-1",
        clock = new VirtualClock(),
    ) {
        this.clock = clock;
        this.events = new EventLog({ clock: this.clock, instance: "entry-1" });
        const runtime = {
            clock: this.clock,
            events: this.events,
            random: createRandomSource(Number(name.split("-")[1])),
        };
        this.store = new PublishedStateStore({
            clock: this.clock,
            events: this.events,
            decode: (key, text) => this.contents.get(`${key} ${text}`) ?? { kind: "ignored" },
        });
        this.directory = new ServerDirectory({
            runtime,
            store: this.store,
            sinceOutageMs: () => this.sinceOutageMs,
            changeDelayMs: 0,
            leavingHeader: NAMES.leaving,
        });
        this.context = new DirectContext({
            runtime,
            settings: { ...SETTINGS, instance: branded<InstanceId>(name) },
            headers: NAMES,
            store: this.store,
            directory: this.directory,
            upstreams: this,
            metrics: noCallMetrics,
            hasJoined: () => true,
            heardSources: () => ({ storeHeardMs: 0, peers: [], loopDelayMs: 0 }),
            fleet: () => this.knownFleet(),
            peerDataCentres: () => this.knownDataCentres(),
        });
        if (start !== "none") {
            this.publish("config", { kind: "configuration", configuration: start });
        }
    }

    protected knownFleet(): FleetView {
        return this.fleet;
    }

    protected knownDataCentres(): readonly DataCentreId[] {
        return this.peerDataCentres;
    }

    public publish(key: string, content: ItemContent): void {
        const revision = branded<Revision>(++this.revision);
        const text = String(revision);
        this.contents.set(`${key} ${text}`, content);
        this.store.apply(revision, [{ key, text, revision }], "platform");
    }

    public remove(key: string): void {
        const revision = branded<Revision>(++this.revision);
        this.store.apply(revision, [{ key, text: undefined, revision }], "platform");
    }

    public addServers(service: ServiceName, ...ids: readonly string[]): void {
        for (const id of ids) {
            this.publish(id, { kind: "server", server: serverEntry(id, service) });
        }
    }

    public start(
        server: string,
        _address: Address,
        request: UpstreamRequest,
        consumer: UpstreamConsumer,
    ): UpstreamCall {
        const call = new FakeUpstream(server, request, consumer);
        this.attempts.push(call);
        return call;
    }

    public async probe(_address: Address): Promise<ProbeResult> {
        return "accepted";
    }

    public observeEnds(): EndsObserver {
        const ends = { stillOpen: 0, stillAnswering: 0, endedTogether: 1, endedAfterData: 1 };
        return { read: () => ends, settled: async () => ends };
    }

    public async identify(): Promise<ServerIdentity> {
        throw new Error("no health check is needed");
    }

    public closeIdle(): void {}

    /** Sends a request; `done` settles once the entry has finished it. */
    public send(
        name: string,
        headers: Record<string, string> = {},
    ): { readonly reply: FakeReply; readonly done: Promise<void>; } {
        const all: Record<string, string> = {
            host: "shop.example",
            [NAMES.requestId]: `request-${this.nextRequest++}`,
            [NAMES.apiKey]: "key-1",
            [NAMES.remainingMs]: "8000",
            ...headers,
        };
        const rawHeaders: FlatHeaders = Object.entries(all).flat();
        const call: IncomingCall = {
            method: "POST",
            path: `/${name}/1?x=2`,
            headers: all,
            rawHeaders,
            body: Buffer.from("body"),
            receivedMs: this.clock.nowMs(),
        };
        const reply = new FakeReply();
        return { reply, done: serveCall(this.context, call, reply) };
    }

    /** Runs pending work and returns the latest attempt that arrived. */
    public async latestAttempt(): Promise<FakeUpstream> {
        await this.clock.advance(0);
        return this.attempts.at(-1) as FakeUpstream;
    }

    public runUntilSettled(done: Promise<void>): Promise<void> {
        return this.clock.runUntilSettled(done, 20_000);
    }
}
