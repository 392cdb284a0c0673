/**
 * The published state as this instance knows it. Its revision only rises, whoever brings the news.
 *
 * @packageDocumentation
 */

import {
    type BackendServerId,
    branded,
    type DataCentreId,
    type EventLog,
    type Revision,
    type ServiceName,
} from "@magnolialock/kernel";
import type {
    FleetConfiguration,
    ItemChange,
    ItemContent,
    PublishedItem,
    PublishedState,
    ServerEntry,
    ServiceSpec,
} from "../types/fleetPicture.ts";
import { configurationApplied, itemUnreadable } from "./directEvents.ts";
import { RouteTable } from "./routeTable.ts";

/** Where news came from. */
export type NewsSource = "platform" | "peer";

/** Options of a {@link PictureStore}. */
export interface PictureStoreOptions {
    /** Event log of the process. */
    readonly events: EventLog;
    /** Decodes an item. */
    readonly decode: (key: string, text: string) => ItemContent;
}

interface KnownItem {
    readonly item: PublishedItem;
    readonly content: ItemContent;
}

/** The configuration in force with its look-up tables. */
export interface ActiveConfiguration {
    /** What the operator wrote. */
    readonly configuration: FleetConfiguration;
    /** Routes by host and prefix. */
    readonly routes: RouteTable;
    /** Services by name. */
    readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
}

const NO_REVISION = branded<Revision>(0);

/** Holds all published items and what they mean. */
export class PictureStore {
    private readonly events: EventLog;
    private readonly decode: PictureStoreOptions["decode"];
    private readonly items = new Map<string, KnownItem>();
    private readonly listeners = new Set<(source: NewsSource) => void>();
    private knownRevision = NO_REVISION;
    private active: ActiveConfiguration | undefined;

    /** @param options - event log and decoder */
    public constructor(options: PictureStoreOptions) {
        this.events = options.events;
        this.decode = options.decode;
    }

    /** Every change up to this revision is known; 0 before the first news. */
    public get revision(): Revision {
        return this.knownRevision;
    }

    /** Configuration in force; undefined until one is known. */
    public get configuration(): ActiveConfiguration | undefined {
        return this.active;
    }

    /** Backend servers that are published now. */
    public servers(): Map<BackendServerId, ServerEntry> {
        const servers = new Map<BackendServerId, ServerEntry>();
        for (const { content } of this.items.values()) {
            if (content.kind === "server") {
                servers.set(content.server.id, content.server);
            }
        }
        return servers;
    }

    /** Data centres that operators have taken out. */
    public outDataCentres(): Set<DataCentreId> {
        const dataCentres = new Set<DataCentreId>();
        for (const { content } of this.items.values()) {
            if (content.kind === "outDataCentre") {
                dataCentres.add(content.dataCentre);
            }
        }
        return dataCentres;
    }

    /** Everything, to hand it to another instance. */
    public export(): PublishedState {
        return { revision: this.knownRevision, items: [...this.items.values()].map(({ item }) => item) };
    }

    /**
     * Takes a whole state. A state older than the known one is ignored.
     *
     * @param state - all items
     * @param source - who brought it
     */
    public replace(state: PublishedState, source: NewsSource): void {
        if (state.revision < this.knownRevision) {
            return;
        }
        const keys = new Set(state.items.map(({ key }) => key));
        for (const [key, { item }] of this.items) {
            // An item that is newer than the state was written after the state was read.
            if (!keys.has(key) && item.revision <= state.revision) {
                this.items.delete(key);
            }
        }
        state.items.forEach(item => this.put(item));
        this.knownRevision = state.revision;
        this.publish(source);
    }

    /**
     * Takes changes. Those that are known already are skipped.
     *
     * @param revision - revision that the changes lead to
     * @param changes - the changes, oldest first
     * @param source - who brought them
     */
    public apply(revision: Revision, changes: readonly ItemChange[], source: NewsSource): void {
        if (revision <= this.knownRevision) {
            return;
        }
        for (const { key, text, revision: changeRevision } of changes) {
            if (changeRevision <= this.knownRevision) {
                continue;
            }
            if (text !== undefined) {
                this.put({ key, text, revision: changeRevision });
            }
            else if ((this.items.get(key)?.item.revision ?? NO_REVISION) < changeRevision) {
                this.items.delete(key);
            }
        }
        this.knownRevision = revision;
        if (changes.length > 0) {
            this.publish(source);
        }
    }

    /**
     * Calls back after each change.
     *
     * @param listener - what to call with the source of the news
     */
    public onChange(listener: (source: NewsSource) => void): void {
        this.listeners.add(listener);
    }

    private put(item: PublishedItem): void {
        const known = this.items.get(item.key);
        if (known && known.item.revision >= item.revision) {
            return;
        }
        const content = this.decode(item.key, item.text);
        if (content.kind === "unreadable") {
            const { key, revision } = item;
            this.events.emit(itemUnreadable, { key, revision, error: content.message });
        }
        const isBadConfiguration = content.kind === "unreadable" && known?.content.kind === "configuration";
        this.items.set(item.key, { item, content: isBadConfiguration ? known.content : content });
    }

    private publish(source: NewsSource): void {
        this.activate(source);
        this.listeners.forEach(listener => listener(source));
    }

    private activate(source: NewsSource): void {
        for (const { content } of this.items.values()) {
            if (content.kind !== "configuration") {
                continue;
            }
            const { configuration } = content;
            const known = this.active?.configuration.version ?? Number.NEGATIVE_INFINITY;
            if (configuration.version > known) {
                const services = new Map(configuration.services.map(service => [service.name, service]));
                this.active = { configuration, routes: new RouteTable(configuration.routes), services };
                const { version, routes } = configuration;
                this.events.emit(configurationApplied, {
                    version,
                    revision: this.knownRevision,
                    routes: routes.length,
                    source,
                });
            }
        }
    }
}
