/** One instance of a {@link PublishedFleet}: the tasks that keep its published state up to date. */

import {
    type Address,
    branded,
    type DataCentreId,
    EventLog,
    type InstanceId,
    PauseDetector,
    type RandomSource,
    type Revision,
    sleep,
    type StoreEra,
    UnreachableError,
} from "@magnolialock/kernel";
import { ProcessClock, type RevisionedStore, type VirtualClock } from "@magnolialock/test-support";
import type {
    ItemContent,
    PublishedRead,
    PublishedSource,
    PublishedState,
    WatchResult,
} from "../../types/publishedState.ts";
import { PeerExchange } from "../peerExchange.ts";
import { CHANGE_BATCH_DELAY_MS, PlatformWatcher } from "../platformWatcher.ts";
import { PublishedStateStore } from "../publishedStateStore.ts";
import { ServerDirectory } from "../serverDirectory.ts";
import { ORDERS, SETTINGS } from "./directFixture.ts";

/** Time from a call to the store to its answer, in milliseconds. */
const STORE_DELAY_MS = 4;

/** What an instance reaches. */
export interface StateWorld {
    readonly options: { readonly namesEra?: boolean; };
    readonly clock: VirtualClock;
    readonly random: RandomSource;
    readonly platform: RevisionedStore;
    /** Content of each text that was written. */
    readonly contents: ReadonlyMap<string, ItemContent>;
    /** Calls to the store. */
    readonly calls: { readonly atMs: number; readonly instance: string; }[];
    readonly isStoreDown: boolean;
    /** Changes each time connections to the store are closed. */
    readonly life: number;
    /**
     * Time at which the connections to the store that were open then have gone silent; negative if they have not, infinite
     * while the store answers nobody.
     */
    readonly silentSinceMs: number;
    addressOf(index: number): Address;
    dataCentreOf(index: number): DataCentreId;
    deliver(from: number, to: Address, bytes: Uint8Array): void;
    fetchState(from: number, peer: Address, signal: AbortSignal): Promise<PublishedState>;
}

/** A process that knows nothing when it starts. */
export class StateInstance implements PublishedSource {
    public readonly clock: ProcessClock;
    public readonly events: EventLog;
    public readonly store: PublishedStateStore;
    public readonly directory: ServerDirectory;
    public readonly watcher: PlatformWatcher;
    public readonly exchange: PeerExchange;
    /** Time at which its connections to the store were opened, in milliseconds. */
    private connectedMs = 0;
    /** Whether the store answers this instance. */
    public isStoreReachable = true;
    /** Time at which its connections to the store that were open then have gone silent; negative if they have not. */
    public silentSinceMs = -1;
    /** Bytes of reports that it has sent. */
    public sentBytes = 0;
    private readonly pauses: PauseDetector;

    public constructor(private readonly fleet: StateWorld, public readonly index: number) {
        this.clock = new ProcessClock({ clock: fleet.clock });
        const { clock } = this;
        this.events = new EventLog({ clock, instance: this.name });
        const runtime = {
            clock,
            events: this.events,
            random: fleet.random.fork(`${this.name} ${fleet.clock.nowMs()}`),
        };
        const decode = (key: string, text: string): ItemContent => this.decode(key, text);
        this.store = new PublishedStateStore({ clock, events: this.events, decode });
        const { store } = this;
        this.watcher = new PlatformWatcher({
            runtime,
            source: this,
            store,
            fleetSize: () => this.exchange.fleet.size,
            fleetWatches: () => this.exchange.watches,
            onSilence: origin => {
                if (origin === "own") {
                    this.exchange.announce();
                }
            },
        });
        this.directory = new ServerDirectory({
            runtime,
            store,
            sinceOutageMs: () => Math.min(this.watcher.sinceOutageMs, store.sinceRestoredMs),
            changeDelayMs: CHANGE_BATCH_DELAY_MS,
            leavingHeader: "x-leaving",
        });
        this.exchange = new PeerExchange({
            runtime,
            settings: {
                ...SETTINGS,
                instance: branded<InstanceId>(this.name),
                peers: fleet.addressOf(index),
                dataCentre: fleet.dataCentreOf(index),
                seeds: [0, 1, 2].map(seed => fleet.addressOf(seed)),
            },
            store,
            directory: this.directory,
            services: () => new Map(),
            news: noNews,
            fetchState: (peer, signal) => fleet.fetchState(index, peer, signal),
            onFetched: () => this.watcher.restartCall(),
            storeWatch: this.watcher,
        });
        this.pauses = new PauseDetector({ clock, onPause: () => this.watcher.restartCall() });
    }

    public get name(): string {
        return `entry-${this.index + 1}`;
    }

    /** Whether callers may be sent here. */
    public get isReady(): boolean {
        return this.exchange.hasJoined;
    }

    /** Version of the configuration in force; 0 before the first. */
    public get version(): number {
        return this.store.configuration?.configuration.version ?? 0;
    }

    /** Identifiers of the servers that may get requests. */
    public get servers(): string[] {
        return this.directory.candidates(ORDERS).map(({ entry }) => entry.id).sort();
    }

    public start(): void {
        void this.watcher.run();
        void this.exchange.run({
            send: (to, bytes) => {
                this.sentBytes += bytes.length;
                this.fleet.deliver(this.index, to, bytes);
            },
            [Symbol.asyncDispose]: async () => {},
        });
    }

    public kill(): void {
        this.clock.kill();
        this.pauses[Symbol.dispose]();
        this.watcher[Symbol.dispose]();
        this.exchange[Symbol.dispose]();
        this.store[Symbol.dispose]();
    }

    public decode(key: string, text: string): ItemContent {
        return this.fleet.contents.get(`${key} ${text}`) ?? { kind: "ignored" };
    }

    public async readAll(signal: AbortSignal): Promise<PublishedRead> {
        return await this.call(signal, async model => {
            const { era, revision } = model;
            const { items } = model.page("", "", Number.POSITIVE_INFINITY);
            return {
                era: this.eraOf(era),
                revision: branded<Revision>(revision),
                items: items.map(item => ({ ...item, revision: branded<Revision>(item.revision) })),
            };
        });
    }

    public async watch(after: Revision, waitMs: number, signal: AbortSignal): Promise<WatchResult> {
        return await this.call(signal, async model => {
            if (model.changesAfter(after)?.length === 0) {
                await model.waitForChange(waitMs, signal);
            }
            const era = this.eraOf(model.era);
            const changes = model.changesAfter(after);
            return changes
                ? {
                    kind: "changes",
                    era,
                    revision: branded<Revision>(model.revision),
                    changes: changes.map(({ item, key, revision }) => ({
                        key,
                        text: item?.text,
                        revision: branded<Revision>(revision),
                    })),
                }
                : { kind: "historyLost", era };
        });
    }

    public reconnect(): void {
        this.connectedMs = this.fleet.clock.nowMs();
    }

    private eraOf(era: number): StoreEra | undefined {
        return this.fleet.options.namesEra === false ? undefined : branded<StoreEra>(era);
    }

    /** One call to the store; it breaks off when the store goes away meanwhile. */
    private async call<T>(signal: AbortSignal, answer: (model: RevisionedStore) => Promise<T>): Promise<T> {
        const { fleet } = this;
        const { connectedMs } = this;
        fleet.calls.push({ atMs: fleet.clock.nowMs(), instance: this.name });
        await sleep(this.clock, STORE_DELAY_MS / 2, signal);
        await this.untilHeard(connectedMs, signal);
        const { life } = fleet;
        this.assertReachable(life);
        const result = await answer(fleet.platform);
        await sleep(this.clock, STORE_DELAY_MS / 2, signal);
        await this.untilHeard(connectedMs, signal);
        this.assertReachable(life);
        return result;
    }

    /** Nothing comes through a connection that has gone silent. */
    private async untilHeard(connectedMs: number, signal: AbortSignal): Promise<void> {
        if (connectedMs <= Math.max(this.fleet.silentSinceMs, this.silentSinceMs)) {
            // A call that is given up closes its connection.
            await sleep(this.clock, Number.MAX_SAFE_INTEGER, signal).finally(() => this.reconnect());
        }
    }

    private assertReachable(life: number): void {
        if (this.fleet.isStoreDown || !this.isStoreReachable || this.fleet.life !== life) {
            throw new UnreachableError("the store does not answer");
        }
    }
}

const noNews = {
    takeFresh: () => undefined,
    allNews: () => ({ crashes: [], soundSuspects: new Map(), limits: new Map(), leaving: [] }),
    sampleNews: () => ({ crashes: [], soundSuspects: new Map(), limits: new Map(), leaving: [] }),
    applyNews: () => {},
    onFreshNews: () => {},
};
