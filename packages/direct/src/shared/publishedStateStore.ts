/**
 * Published state as this instance knows it. Its revision never decreases, whether updates come from the
 * platform or from other instances.
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
    PublishedServer,
    PublishedState,
    ServiceSpec,
} from "../types/publishedState.ts";
import { configurationApplied, itemUnreadable } from "./directEvents.ts";
import { RouteTable } from "./routeTable.ts";

/** Origin of an update. */
export type UpdateSource = "platform" | "peer";

/** Options of a {@link PublishedStateStore}. */
export interface PublishedStateStoreOptions {
    /** Event log of the process. */
    readonly events: EventLog;
    /** Decodes an item. */
    readonly decode: (key: string, text: string) => ItemContent;
}

interface KnownItem {
    readonly item: PublishedItem;
    readonly content: ItemContent;
}

/** Configuration in force, with its lookup tables. */
export interface ActiveConfiguration {
    /** The operator's configuration. */
    readonly configuration: FleetConfiguration;
    /** Routes by host and prefix. */
    readonly routes: RouteTable;
    /** Services by name. */
    readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
}

const NO_REVISION = branded<Revision>(0);

/** Holds all published items and their decoded content. */
export class PublishedStateStore {
    private readonly events: EventLog;
    private readonly decode: PublishedStateStoreOptions["decode"];
    private readonly items = new Map<string, KnownItem>();
    private readonly listeners = new Set<(source: UpdateSource) => void>();
    private currentRevision = NO_REVISION;
    private activeConfiguration: ActiveConfiguration | undefined;

    /** @param options - event log and decoder */
    public constructor(options: PublishedStateStoreOptions) {
        this.events = options.events;
        this.decode = options.decode;
    }

    /** Every change up to this revision is known; 0 before the first update. */
    public get revision(): Revision {
        return this.currentRevision;
    }

    /** Configuration in force; undefined until one is known. */
    public get configuration(): ActiveConfiguration | undefined {
        return this.activeConfiguration;
    }

    /** Backend servers that are currently published, by identifier. */
    public servers(): Map<BackendServerId, PublishedServer> {
        const servers = new Map<BackendServerId, PublishedServer>();
        for (const { content } of this.items.values()) {
            if (content.kind === "server") {
                servers.set(content.server.id, content.server);
            }
        }
        return servers;
    }

    /** Data centres that operators have taken out of service. */
    public outDataCentres(): Set<DataCentreId> {
        const dataCentres = new Set<DataCentreId>();
        for (const { content } of this.items.values()) {
            if (content.kind === "outDataCentre") {
                dataCentres.add(content.dataCentre);
            }
        }
        return dataCentres;
    }

    /** Exports the full state for another instance. */
    public export(): PublishedState {
        return { revision: this.currentRevision, items: [...this.items.values()].map(({ item }) => item) };
    }

    /**
     * Replaces the state by a full state. A state older than the known one is ignored.
     *
     * @param state - all items
     * @param source - origin of the update
     * @returns whether the state was taken over
     */
    public replace(state: PublishedState, source: UpdateSource): boolean {
        if (state.revision < this.currentRevision) {
            return false;
        }
        const keys = new Set(state.items.map(({ key }) => key));
        for (const [key, { item }] of this.items) {
            // An item newer than the given state was written after that state was read, so it stays.
            if (!keys.has(key) && item.revision <= state.revision) {
                this.items.delete(key);
            }
        }
        state.items.forEach(item => this.putItem(item));
        this.currentRevision = state.revision;
        this.notifyListeners(source);
        return true;
    }

    /**
     * Applies changes. Changes that are already known are skipped.
     *
     * @param revision - revision after the changes
     * @param changes - the changes, oldest first
     * @param source - origin of the update
     */
    public apply(revision: Revision, changes: readonly ItemChange[], source: UpdateSource): void {
        if (revision <= this.currentRevision) {
            return;
        }
        for (const { key, text, revision: changeRevision } of changes) {
            if (changeRevision <= this.currentRevision) {
                continue;
            }
            if (text !== undefined) {
                this.putItem({ key, text, revision: changeRevision });
            }
            else if ((this.items.get(key)?.item.revision ?? NO_REVISION) < changeRevision) {
                this.items.delete(key);
            }
        }
        this.currentRevision = revision;
        if (changes.length > 0) {
            this.notifyListeners(source);
        }
    }

    /**
     * Registers a listener that is called after each update.
     *
     * @param listener - the listener; it gets the origin of the update
     */
    public onChange(listener: (source: UpdateSource) => void): void {
        this.listeners.add(listener);
    }

    private putItem(item: PublishedItem): void {
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

    private notifyListeners(source: UpdateSource): void {
        this.activateConfiguration(source);
        this.listeners.forEach(listener => listener(source));
    }

    private activateConfiguration(source: UpdateSource): void {
        for (const { content } of this.items.values()) {
            if (content.kind !== "configuration") {
                continue;
            }
            const { configuration } = content;
            const known = this.activeConfiguration?.configuration.version ?? Number.NEGATIVE_INFINITY;
            if (configuration.version > known) {
                const services = new Map(configuration.services.map(service => [service.name, service]));
                this.activeConfiguration = {
                    configuration,
                    routes: new RouteTable(configuration.routes),
                    services,
                };
                const { version, routes } = configuration;
                this.events.emit(configurationApplied, {
                    version,
                    revision: this.currentRevision,
                    routes: routes.length,
                    source,
                });
            }
        }
    }
}
