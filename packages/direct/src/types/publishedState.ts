/**
 * Decoded form of the platform's published state: the operator's configuration, the backend servers, and the
 * data centres that are out of service.
 *
 * @packageDocumentation
 */

import type {
    Address,
    BackendServerId,
    ClientAccountId,
    DataCentreId,
    Revision,
    ServiceName,
    StoreEra,
} from "@magnolialock/kernel";

/**
 * How often a request may run: once, any number of times, or again after the last event that the caller has.
 */
export type RepeatRule = "never" | "always" | "resume";

/** One of the services that share the requests of a route. */
export interface RouteTarget {
    /** The service. */
    readonly service: ServiceName;
    /** Relative weight among the targets of the route. */
    readonly weight: number;
}

/** Route for the requests of one host below one path prefix. */
export interface RouteRule {
    /** Name of the route, set by the operator. */
    readonly name: string;
    /** Host name, in lower case. */
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    /** Whether the response is one body or a stream of events. */
    readonly answer: "whole" | "stream";
    /** How often one request may run. */
    readonly repeat: RepeatRule;
    /** Timeout of a request, in milliseconds. */
    readonly timeoutMs: number;
    /** Target for the time to the first byte, in milliseconds; a later response is of less value. */
    readonly targetLatencyMs: number;
    /**
     * Target for the longest pause between events, in milliseconds; a stream with longer pauses is of less
     * value.
     */
    readonly targetGapMs: number | undefined;
    /** Priority of the requests; 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of backend servers that one request may be sent to. */
    readonly maxAttempts: number;
    /** Whether callers need no API key. */
    readonly isPublic: boolean;
    /** Services that serve the route. */
    readonly targets: readonly RouteTarget[];
}

/** Limits of expert maps in the groups of a service, as published by the operator. */
export interface ExpertSpec {
    /** Number of sets of layers; the layers of a set share one placement. */
    readonly sets: number;
    /** Number of experts in each set. */
    readonly experts: number;
    /** Number of experts that a rank holds in each set. */
    readonly placesPerRank: number;
    /** Maximum number of experts that one preparation may copy to a rank, in each set. */
    readonly newPerPreparation: number;
    /** Time that a rank takes to copy one expert, in milliseconds. */
    readonly copyMs: number;
}

/** Timing of a model engine, as published by the operator. */
export interface EngineTiming {
    /** Fixed part of a step, in milliseconds. */
    readonly stepMs: number;
    /** Part of a step for each request that generates output, in milliseconds. */
    readonly perRequestMs: number;
    /** Part of a step for each 1,000 tokens of context of these requests, in milliseconds. */
    readonly perThousandContextMs: number;
    /** Prompt tokens that a server reads per millisecond. */
    readonly readTokensPerMs: number;
    /** Additional time to read a prompt for each million pairs of a token and an earlier token, in milliseconds. */
    readonly perMillionPairsMs: number;
    /** Maximum number of prompt tokens that a server reads between two steps. */
    readonly readTokensPerStep: number;
    /** Steps of a pass while requests generate output; each of them sends one event per pass. */
    readonly stepsPerPass: number;
    /** Tokens that the memory of a server holds. */
    readonly memoryTokens: number;
    /** Mean number of prompt tokens of a request. */
    readonly usualPromptTokens: number;
    /** Mean number of output tokens of a request. */
    readonly usualAnswerTokens: number;
}

/** The model engine of a service's servers. */
export interface EngineSpec {
    /** Limits of expert maps; undefined where the servers form no groups. */
    readonly experts: ExpertSpec | undefined;
    /** Timing of the engine; undefined where the configuration does not give all of it. */
    readonly timing: EngineTiming | undefined;
}

/** A service of the configuration. */
export interface ServiceSpec {
    /** Name of the service. */
    readonly name: ServiceName;
    /** Maximum number of connections to one backend server, from all instances together. */
    readonly connectionLimit: number;
    /** Requests per second that a cold backend server can sustain; 0 where servers are never cold. */
    readonly coldRequestsPerS: number;
    /** Path of the health check of its backend servers; undefined where there is none. */
    readonly healthPath?: string | undefined;
    /** The model engine; undefined for services that are not model servers. */
    readonly engine: EngineSpec | undefined;
}

/** Response of an entry to the rank agents of a service. */
export interface ServiceServers {
    /** Backend servers of the service. */
    readonly servers: readonly Pick<PublishedServer, "id" | "address">[];
    /** Limits of expert maps; undefined where the servers form no groups. */
    readonly experts: ExpertSpec | undefined;
}

/** Path prefix at which an entry serves a {@link ServiceServers}; the name of the service follows it. */
export const SERVICE_SERVERS_PATH = "/services/";

/** Path at which a rank agent tells entries the group of its server. */
export const SERVER_GROUP_PATH = "/rank/group";

/** The account that an API key belongs to. */
export interface AccountSpec {
    /** The client account. */
    readonly account: ClientAccountId;
    /** Priority of all requests of the account; undefined uses the route's. */
    readonly priority: number | undefined;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
    /** Maximum size of the headers, in bytes. */
    readonly headerBytes: number;
    /** Maximum size of a body, in bytes. */
    readonly bodyBytes: number;
    /** Time within which the headers must arrive, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Time after which an idle connection may be closed, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface FleetConfiguration {
    /** Version number set by the operator; it increases with each change. */
    readonly version: number;
    /** All routes. */
    readonly routes: readonly RouteRule[];
    /** All services. */
    readonly services: readonly ServiceSpec[];
    /** Accounts by API key; undefined if callers need no key at all. */
    readonly accountsByKey: ReadonlyMap<string, AccountSpec> | undefined;
    /** Limits on the requests of callers. */
    readonly limits: CallerLimits;
}

/** Entry that a backend server publishes about itself. */
export interface PublishedServer {
    /** Identifier of one incarnation of the server: a restarted server has a new one. */
    readonly id: BackendServerId;
    /** Service of the server. */
    readonly service: ServiceName;
    /** Listen address. */
    readonly address: Address;
    /** Data centre of the server. */
    readonly dataCentre: DataCentreId;
    /** Number of requests that it processes concurrently. */
    readonly slots: number;
    /** Whether it accepts new requests. */
    readonly state: "ready" | "draining";
    /**
     * Start of its process, in milliseconds since the Unix epoch: a server may start again under its identifier.
     * Undefined if it does not publish that.
     */
    readonly bornMs: number | undefined;
}

/** Decoded content of a published item. */
export type ItemContent =
    | { readonly kind: "configuration"; readonly configuration: FleetConfiguration; }
    | { readonly kind: "server"; readonly server: PublishedServer; }
    | { readonly kind: "outDataCentre"; readonly dataCentre: DataCentreId; }
    | { readonly kind: "unreadable"; readonly message: string; }
    | { readonly kind: "ignored"; };

/** An item as published. */
export interface PublishedItem {
    /** Key of the item. */
    readonly key: string;
    /** Undecoded content. */
    readonly text: string;
    /** Revision of its last change. */
    readonly revision: Revision;
}

/** A change of one item; a change without text removes the item. */
export interface ItemChange {
    /** Key of the item. */
    readonly key: string;
    /** New undecoded content; undefined if the item was removed. */
    readonly text: string | undefined;
    /** Revision of the change. */
    readonly revision: Revision;
}

/** Place of a write among all writes: by era, then by revision. */
export interface StateVersion {
    /** Life of the store in which the write was made. */
    readonly era: StoreEra;
    /** Its revision. */
    readonly revision: Revision;
}

/** All items as the platform returned them. */
export interface PublishedRead {
    /** Era that the platform named; undefined if it names none. */
    readonly era: StoreEra | undefined;
    /** Every change up to this revision is included. */
    readonly revision: Revision;
    /** All items. */
    readonly items: readonly PublishedItem[];
}

/** An item with the version of its write. */
export interface VersionedItem extends PublishedItem, StateVersion {}

/** Removal of an item. */
export interface RemovedItem extends StateVersion {
    /** Key of the item. */
    readonly key: string;
}

/** Superseded writes of one item. */
export interface ItemWrites {
    /** Key of the item. */
    readonly key: string;
    /** Revision and hash of the text of each write. */
    readonly writes: readonly (readonly [revision: number, textHash: number])[];
}

/** All that an instance knows of the published state, as it hands it to another one. */
export interface PublishedState extends StateVersion {
    /** Items, with those that are kept although an older copy of the store lacks them. */
    readonly items: readonly VersionedItem[];
    /** Removals. */
    readonly removed: readonly RemovedItem[];
    /** Keys of the items that the store lacks since it returned from an older copy. */
    readonly missing: readonly string[];
    /** Superseded writes. */
    readonly history: readonly ItemWrites[];
    /** Highest revision that was known before the store returned to this era; 0 if no return was noticed. */
    readonly revisionBeforeReturn: Revision;
    /** Time for which the knowledge goes back without a gap, in milliseconds. */
    readonly ageMs: number;
    /** Keys of the processes of backend servers that have said that they leave. */
    readonly leaving: readonly number[];
}

/** A write or, without a text, a removal. */
export type MergedVersion = StateVersion & Partial<Pick<PublishedItem, "key" | "text">>;

/** A full state from the platform or, with more details, from another instance. */
export type FullState =
    & StateVersion
    & { readonly items: readonly (PublishedItem & Partial<Pick<StateVersion, "era">>)[]; }
    & Partial<Pick<PublishedState, "removed" | "missing" | "history" | "revisionBeforeReturn" | "leaving">>;

/**
 * Result of a watch; `historyLost` means that the changes after the given revision are not available. The era is
 * undefined if the platform names none.
 */
export type WatchResult =
    | {
        readonly kind: "changes";
        readonly era: StoreEra | undefined;
        readonly revision: Revision;
        readonly changes: readonly ItemChange[];
    }
    | { readonly kind: "historyLost"; readonly era: StoreEra | undefined; };

/** Read-only access to the platform's published state. */
export interface PublishedSource {
    /**
     * Reads the full state with a consistent (never stale) read.
     *
     * @param signal - cancels the read
     * @returns all items; changes after the returned revision may already be included
     */
    readAll(signal: AbortSignal): Promise<PublishedRead>;
    /**
     * Waits for changes.
     *
     * @param after - revision after which changes are returned
     * @param waitMs - maximum wait, in milliseconds
     * @param signal - cancels the wait
     * @returns the changes; empty if the wait ended without one
     */
    watch(after: Revision, waitMs: number, signal: AbortSignal): Promise<WatchResult>;
    /** Makes later calls use new connections; running calls keep theirs. */
    reconnect(): void;
    /**
     * Decodes one item. Never throws; invalid content yields `unreadable`.
     *
     * @param key - key of the item
     * @param text - undecoded content of the item
     */
    decode(key: string, text: string): ItemContent;
}
