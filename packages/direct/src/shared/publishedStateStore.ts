/**
 * Published state as this instance knows it, whether updates come from the platform or from other instances.
 *
 * Writes are ordered by the store's era and revision. When the store returns from an older copy, what was known
 * before stays until the new era shows a newer write of the same item: an absence or an older content in the
 * copy is no evidence. The version of the configuration in force never decreases.
 *
 * @packageDocumentation
 */

import {
    type BackendServerId,
    branded,
    type Clock,
    type DataCentreId,
    type EventLog,
    type Revision,
    type StoreEra,
} from "@magnolialock/kernel";
import { LRUCache } from "lru-cache";
import type {
    FullState,
    ItemChange,
    ItemContent,
    MergedVersion,
    PublishedServer,
    PublishedState,
    StateVersion,
    VersionedItem,
} from "../types/publishedState.ts";
import { activateConfiguration, type ActiveConfiguration } from "./activeConfiguration.ts";
import {
    configurationApplied,
    itemKept,
    itemUnreadable,
    missingDropped,
    storeRestored,
} from "./directEvents.ts";
import { LeavingServers } from "./leavingServers.ts";
import { outDataCentresAmong, serversAmong } from "./publishedContents.ts";
import { compareVersions, NO_VERSION } from "./stateVersion.ts";
import { WriteHistory } from "./writeHistory.ts";

/** Origin of an update. */
export type UpdateSource = "platform" | "peer";

/** Options of a {@link PublishedStateStore}. */
export interface PublishedStateStoreOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Decodes an item. */
    readonly decode: (key: string, text: string) => ItemContent;
}

interface KnownItem {
    readonly item: VersionedItem;
    readonly content: ItemContent;
}

/** Maximum number of removals that are remembered. */
const MAX_REMOVED = 2_048;
/**
 * Time after a return of the store for which servers that its copy lacks stay in use, in milliseconds: live ones
 * publish themselves again within about two seconds, and it takes a moment until this instance knows.
 */
const MISSING_SERVER_LIFETIME_MS = 3_000;
/** Maximum number of items kept against a copy that are logged one by one. */
const MAX_KEPT_LOGGED = 32;

/** Holds all published items and their decoded content. */
export class PublishedStateStore implements Disposable {
    /** Backend servers that have said that they leave, whatever the platform says of them. */
    public readonly leaving = new LeavingServers();
    private readonly options: PublishedStateStoreOptions;
    private readonly items = new Map<string, KnownItem>();
    private readonly removed = new LRUCache<string, StateVersion>({ max: MAX_REMOVED });
    private readonly missing = new Set<string>();
    private readonly departed = new LRUCache<BackendServerId, true>({ max: MAX_REMOVED });
    private readonly listeners = new Set<(source: UpdateSource) => void>();
    private history = new WriteHistory();
    private knownVersion = NO_VERSION;
    private knownSinceMs: number;
    private restoredMs = Number.NEGATIVE_INFINITY;
    private restorations = 0;
    private lastRevisionBeforeReturn = NO_VERSION.revision;
    /** Items of the copy that the current merge has not believed. */
    private keptCount = 0;
    private activeConfiguration: ActiveConfiguration | undefined;
    private activeSinceMs = Number.NEGATIVE_INFINITY;
    private revisionSinceMs = Number.NEGATIVE_INFINITY;
    private expiry: Disposable | undefined;

    /** @param options - clock, event log and decoder */
    public constructor(options: PublishedStateStoreOptions) {
        this.options = options;
        this.knownSinceMs = options.clock.nowMs();
    }

    /** Every change up to this version is known. */
    public get version(): StateVersion {
        return this.knownVersion;
    }

    /** Every change of the current era up to this revision is known; 0 before the first update. */
    public get revision(): Revision {
        return this.knownVersion.revision;
    }

    /** Era of the platform's store. */
    public get era(): StoreEra {
        return this.knownVersion.era;
    }

    /** Number of returns of the store from an older copy that this instance has noticed. */
    public get returns(): number {
        return this.restorations;
    }

    /**
     * Highest revision that was known, here or to an instance whose knowledge was merged, before the store returned
     * to the current era; 0 if no return was noticed.
     */
    public get revisionBeforeReturn(): Revision {
        return this.lastRevisionBeforeReturn;
    }

    /** Number of items that are kept although the store lacks them since it returned from an older copy. */
    public get missingCount(): number {
        return this.missing.size;
    }

    /** Time since the latest such return was noticed, in milliseconds; infinite before the first. */
    public get sinceRestoredMs(): number {
        return this.options.clock.nowMs() - this.restoredMs;
    }

    /** Time for which the knowledge goes back without a gap, in milliseconds; 0 before the first update. */
    public get ageMs(): number {
        return this.revision === 0 ? 0 : this.options.clock.nowMs() - this.knownSinceMs;
    }

    /** Configuration in force; undefined until one is known. */
    public get configuration(): ActiveConfiguration | undefined {
        return this.activeConfiguration;
    }

    /** Version of the configuration in force; 0 before the first. */
    public get configurationVersion(): number {
        return this.activeConfiguration?.configuration.version ?? 0;
    }

    /** Time since that configuration came into force here, in milliseconds; infinite before the first. */
    public get configurationAgeMs(): number {
        return this.options.clock.nowMs() - this.activeSinceMs;
    }

    /** Time since the known revision last changed, in milliseconds; infinite before the first. */
    public get revisionAgeMs(): number {
        return this.options.clock.nowMs() - this.revisionSinceMs;
    }

    /** Backend servers that are currently published, by identifier. */
    public servers(): Map<BackendServerId, PublishedServer> {
        return serversAmong(this.contents());
    }

    /**
     * Tells whether another instance has seen a server leave; its entry has not merely expired around an outage.
     *
     * @param id - identifier of a server that is not published
     */
    public hasDeparted(id: BackendServerId): boolean {
        return this.departed.has(id);
    }

    /** Data centres that operators have taken out of service. */
    public outDataCentres(): Set<DataCentreId> {
        return outDataCentresAmong(this.contents());
    }

    /** Exports all that is known, for another instance. */
    public export(): PublishedState {
        return {
            ...this.knownVersion,
            items: [...this.items.values()].map(({ item }) => item),
            removed: [...this.removed.entries()].map(([key, version]) => ({ ...version, key })),
            missing: [...this.missing],
            history: this.history.export(),
            revisionBeforeReturn: this.lastRevisionBeforeReturn,
            ageMs: this.ageMs,
            leaving: this.leaving.all(),
        };
    }

    /**
     * Merges a full state. Of an older one only a newer configuration is taken.
     *
     * @param state - all items
     * @param source - origin of the update
     * @returns whether the state was taken over
     */
    public replace(state: FullState, source: UpdateSource): boolean {
        const isOlder = compareVersions(state, this.knownVersion) < 0;
        this.leaving.merge(state.leaving ?? []);
        if (isOlder) {
            this.mergeConfiguration(state);
        }
        else {
            this.merge(state, source);
        }
        this.notifyListeners(source);
        return !isOlder;
    }

    /**
     * Replaces all that is known by the knowledge of an instance that has followed the store for longer. An instance
     * that has just started cannot tell an older copy from the newest state.
     *
     * @param state - knowledge of the other instance, not older than what is known here
     */
    public inherit(state: PublishedState): void {
        const ownConfiguration = [...this.items.values()].find(({ content }) =>
            content.kind === "configuration"
        );
        this.items.clear();
        this.missing.clear();
        this.removed.clear();
        this.history = new WriteHistory();
        this.knownVersion = NO_VERSION;
        this.lastRevisionBeforeReturn = NO_VERSION.revision;
        this.leaving.merge(state.leaving);
        this.merge(state, "peer");
        this.knownSinceMs = this.options.clock.nowMs() - state.ageMs;
        if (ownConfiguration) {
            this.putItem(ownConfiguration.item);
        }
        this.notifyListeners("peer");
    }

    /**
     * Applies changes of the current era. Changes that are already known are skipped.
     *
     * @param revision - revision after the changes
     * @param changes - the changes, oldest first
     * @param source - origin of the update
     */
    public apply(revision: Revision, changes: readonly ItemChange[], source: UpdateSource): void {
        if (revision <= this.revision) {
            return;
        }
        const { era } = this;
        for (const { key, revision: changeRevision, text } of changes) {
            if (changeRevision <= this.revision) {
                continue;
            }
            this.missing.delete(key);
            if (text === undefined) {
                this.removeItem(key, { era, revision: changeRevision });
            }
            else {
                this.putItem({ key, text, era, revision: changeRevision });
            }
        }
        this.setKnownVersion({ era, revision });
        if (changes.length > 0) {
            this.notifyListeners(source);
        }
    }

    /**
     * Revision after which changes of the current era should be asked for once it has begun, to find removals of items
     * that the store's copy still held; undefined if no item is missing. It is not after that of the copy.
     */
    public get removalsAfter(): Revision | undefined {
        if (this.missing.size === 0) {
            return undefined;
        }
        const copied = [...this.items].flatMap(([key, { item }]) =>
            item.era < this.era && !this.missing.has(key) && item.revision <= this.revision
                ? [item.revision]
                : []
        );
        return copied.length === 0 ? undefined : branded<Revision>(Math.max(...copied));
    }

    /**
     * Applies the removals among the changes of the current era, up to the known revision, to items that are missing:
     * they were removed again after the return, and not lost by it.
     *
     * @param changes - the changes
     */
    public applyRemovals(changes: readonly ItemChange[]): void {
        const removals = changes.filter(({ key, revision, text }) =>
            text === undefined && this.missing.has(key) && !this.history.includesRemoval(key, revision)
        );
        for (const { key, revision } of removals) {
            this.missing.delete(key);
            this.removeItem(key, { era: this.era, revision });
        }
        if (removals.length > 0) {
            this.notifyListeners("platform");
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

    /** Cancels the timer. */
    public [Symbol.dispose](): void {
        this.expiry?.[Symbol.dispose]();
    }

    private setKnownVersion(version: StateVersion): void {
        if (compareVersions(version, this.knownVersion) !== 0) {
            this.revisionSinceMs = this.options.clock.nowMs();
        }
        this.knownVersion = version;
    }

    private contents(): ItemContent[] {
        return [...this.items.values()].map(({ content }) => content);
    }

    private merge(state: FullState, source: UpdateSource): void {
        const known = this.knownVersion;
        const isReturn = known.revision > 0 && state.era > known.era;
        this.history.import(state.history ?? []);
        this.keptCount = 0;
        const missingThere = new Set(state.missing);
        for (const item of state.items) {
            this.mergeItem({ ...item, era: item.era ?? state.era }, state.era, missingThere);
        }
        for (const { key, ...version } of state.removed ?? []) {
            this.mergeRemoval(key, version);
        }
        this.mergeAbsences(state, isReturn);
        this.setKnownVersion({ era: state.era, revision: state.revision });
        this.lastRevisionBeforeReturn = branded<Revision>(Math.max(
            isReturn ? known.revision : this.lastRevisionBeforeReturn,
            state.revisionBeforeReturn ?? 0,
        ));
        if (isReturn) {
            this.recordReturn(known, source);
        }
        if (isReturn || !this.expiry) {
            this.scheduleExpiry();
        }
    }

    private scheduleExpiry(): void {
        this.expiry?.[Symbol.dispose]();
        this.expiry = this.missing.size === 0
            ? undefined
            : this.options.clock.setTimer(MISSING_SERVER_LIFETIME_MS, () => this.dropMissingServers());
    }

    private mergeItem(item: VersionedItem, era: StoreEra, missingThere: ReadonlySet<string>): void {
        const { key } = item;
        const known = this.items.get(key);
        if (known?.content.kind === "configuration") {
            this.putItem(item);
            return;
        }
        const knownVersion: MergedVersion | undefined = known?.item ?? this.removed.get(key);
        const isUnchanged = known?.item.revision === item.revision && known.item.text === item.text;
        if (isUnchanged) {
            if (item.era === era) {
                this.missing.delete(key);
            }
            return;
        }
        if (!knownVersion || this.history.isNewer(item, knownVersion)) {
            this.missing.delete(key);
            this.putItem(item);
            if (missingThere.has(key)) {
                this.missing.add(key);
            }
            return;
        }
        if (item.era > knownVersion.era && this.keptCount++ < MAX_KEPT_LOGGED) {
            const { era: knownEra, revision: knownRevision } = knownVersion;
            const { revision } = item;
            const kept = known?.content.kind ?? "removed";
            this.options.events.emit(itemKept, { key, kept, knownEra, knownRevision, era, revision });
        }
    }

    private mergeRemoval(key: string, version: StateVersion): void {
        const known = this.items.get(key);
        if (known && known.content.kind !== "configuration" && this.history.isNewer(version, known.item)) {
            if (known.content.kind === "server") {
                this.departed.set(known.content.server.id, true);
            }
            this.missing.delete(key);
            this.removeItem(key, version);
        }
        else if (!known && compareVersions(version, this.removed.get(key) ?? NO_VERSION) > 0) {
            this.removed.set(key, version);
        }
    }

    /** Removes the items that a full state lacks, unless it lacks them because the store returned from a copy. */
    private mergeAbsences(state: FullState, isReturn: boolean): void {
        const { era, revision } = state;
        const missingThere = new Set(state.missing);
        const present = new Set(state.items.map(({ key }) => key));
        for (const [key, { content, item }] of [...this.items]) {
            const isPresent = present.has(key) && !(isReturn && missingThere.has(key));
            if (isPresent || this.missing.has(key) || content.kind === "configuration") {
                continue;
            }
            if (isReturn) {
                this.missing.add(key);
            }
            else if (item.era < era || item.revision <= revision) {
                // A newer item was written after the state was read, so it stays.
                this.removeItem(key, { era, revision });
            }
        }
    }

    private recordReturn(known: StateVersion, source: UpdateSource): void {
        const { clock, events } = this.options;
        this.restorations++;
        this.restoredMs = clock.nowMs();
        events.emit(storeRestored, {
            knownEra: known.era,
            knownRevision: known.revision,
            era: this.era,
            revision: this.revision,
            source,
            kept: this.keptCount,
            missing: this.missing.size,
            configurationVersion: this.configurationVersion,
        });
    }

    private dropMissingServers(): void {
        this.expiry = undefined;
        const servers = [...this.missing].filter(key => this.items.get(key)?.content.kind === "server");
        for (const key of servers) {
            const { era: writtenEra, revision } = this.items.get(key)?.item ?? NO_VERSION;
            this.missing.delete(key);
            this.items.delete(key);
            // Others may still hand it on; only a newer write brings it back.
            this.removed.set(key, { era: writtenEra, revision });
        }
        if (servers.length > 0) {
            this.options.events.emit(missingDropped, {
                era: this.era,
                servers: servers.length,
                keys: servers.slice(0, 8).join(" "),
            });
            this.notifyListeners("platform");
        }
    }

    private mergeConfiguration(state: FullState): void {
        for (const item of state.items) {
            if (this.options.decode(item.key, item.text).kind === "configuration") {
                this.putItem({ ...item, era: item.era ?? state.era });
            }
        }
    }

    private putItem(item: VersionedItem): void {
        const known = this.items.get(item.key);
        const content = known?.item.text === item.text
            ? known.content
            : this.options.decode(item.key, item.text);
        if (content.kind === "unreadable") {
            const { message: error } = content;
            this.options.events.emit(itemUnreadable, { key: item.key, revision: item.revision, error });
        }
        if (known?.content.kind === "configuration") {
            // The item stays the one in force, as it is handed to other instances.
            const isNewer = content.kind === "configuration"
                && content.configuration.version > known.content.configuration.version;
            if (!isNewer) {
                return;
            }
        }
        if (known) {
            this.history.record(known.item);
        }
        this.removed.delete(item.key);
        this.items.set(item.key, { item, content });
    }

    private removeItem(key: string, version: StateVersion): void {
        const known = this.items.get(key);
        if (known?.content.kind === "configuration") {
            return;
        }
        if (known) {
            this.history.record(known.item);
        }
        this.items.delete(key);
        this.removed.set(key, version);
        this.history.recordRemoval(key, version.revision);
    }

    private notifyListeners(source: UpdateSource): void {
        this.activateNewestConfiguration(source);
        this.listeners.forEach(listener => listener(source));
    }

    private activateNewestConfiguration(source: UpdateSource): void {
        for (const { content } of this.items.values()) {
            if (content.kind !== "configuration" || content.configuration.version <= this.activeVersion) {
                continue;
            }
            this.activeConfiguration = activateConfiguration(content.configuration);
            this.activeSinceMs = this.options.clock.nowMs();
            const { routes, version } = content.configuration;
            const applied = { version, ...this.knownVersion, routes: routes.length, source };
            this.options.events.emit(configurationApplied, applied);
        }
    }

    private get activeVersion(): number {
        return this.activeConfiguration?.configuration.version ?? Number.NEGATIVE_INFINITY;
    }
}
