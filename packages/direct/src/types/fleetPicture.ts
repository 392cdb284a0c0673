/**
 * What the platform publishes, in the product's words: the operator's configuration, the backend servers and the data
 * centres that are out of service.
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
} from "@magnolialock/kernel";

/** How often a request may run. */
export type RepeatRule = "never" | "always" | "resume";

/** A share of a route's requests. */
export interface RouteTarget {
    /** Service that gets the share. */
    readonly service: ServiceName;
    /** Relative weight among the targets of the route. */
    readonly weight: number;
}

/** Where the requests below one path prefix go. */
export interface RouteRule {
    /** Name that the operator gave. */
    readonly name: string;
    /** Host name of the requests, in lower case. */
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    /** Whether the answer is one body or a stream of events. */
    readonly answer: "whole" | "stream";
    /** How often one request may run. */
    readonly repeat: RepeatRule;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time to the first byte within which the answer has its full value, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Longest pause between events with which a stream has its full value, in milliseconds. */
    readonly targetGapMs: number | undefined;
    /** Rank of the request; 0 is the most urgent. */
    readonly priority: number;
    /** Most backend servers that one request may be sent to. */
    readonly maxAttempts: number;
    /** Whether callers need no API key. */
    readonly isPublic: boolean;
    /** Services that serve the route. */
    readonly targets: readonly RouteTarget[];
}

/** Bounds of expert maps in the groups of a service, as the operator publishes them. */
export interface ExpertSpec {
    /** Sets of layers that share one placement. */
    readonly sets: number;
    /** Experts in each set. */
    readonly experts: number;
    /** Experts that a rank holds in each set. */
    readonly placesPerRank: number;
    /** Experts that one preparation may copy to a rank, in each set. */
    readonly newPerPreparation: number;
    /** Time that a rank takes to copy one expert, in milliseconds. */
    readonly copyMs: number;
}

/** The model engine of a service's servers. */
export interface EngineSpec {
    /** Bounds of expert maps; undefined where the servers form no groups. */
    readonly experts: ExpertSpec | undefined;
}

/** A service of the configuration. */
export interface ServiceSpec {
    /** Its name. */
    readonly name: ServiceName;
    /** Connections that one backend server takes from all callers together. */
    readonly connectionLimit: number;
    /** Requests a second that a cold backend server bears; 0 where servers are never cold. */
    readonly coldRequestsPerS: number;
    /** The engine, for services of model servers. */
    readonly engine: EngineSpec | undefined;
}

/** What an entry tells the rank agents of a service. */
export interface ServiceView {
    /** Backend servers of the service. */
    readonly servers: readonly Pick<ServerEntry, "id" | "address">[];
    /** Bounds of expert maps; undefined where the servers form no groups. */
    readonly experts: ExpertSpec | undefined;
}

/** Path at which an entry answers with a {@link ServiceView}; the name of the service follows. */
export const SERVICE_VIEW_PATH = "/services/";

/** Whom an API key belongs to. */
export interface AccountSpec {
    /** The client account. */
    readonly account: ClientAccountId;
    /** Rank of all requests of the account; undefined leaves it to the route. */
    readonly priority: number | undefined;
}

/** Bounds on what a caller sends. */
export interface CallerLimits {
    /** Largest size of the headers, in bytes. */
    readonly headerBytes: number;
    /** Largest size of a body, in bytes. */
    readonly bodyBytes: number;
    /** Longest time in which the headers arrive, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Time after which an idle connection may be closed, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface FleetConfiguration {
    /** Number that the operator gave; rises with each change. */
    readonly version: number;
    /** All routes. */
    readonly routes: readonly RouteRule[];
    /** All services. */
    readonly services: readonly ServiceSpec[];
    /** Accounts by API key; undefined when callers need no key at all. */
    readonly accountsByKey: ReadonlyMap<string, AccountSpec> | undefined;
    /** Bounds on what callers send. */
    readonly limits: CallerLimits;
}

/** A backend server as it describes itself. */
export interface ServerEntry {
    /** Identifier of one life of the server. */
    readonly id: BackendServerId;
    /** Service that it runs. */
    readonly service: ServiceName;
    /** Where it listens. */
    readonly address: Address;
    /** Data centre that it stands in. */
    readonly dataCentre: DataCentreId;
    /** Requests that it works on at once. */
    readonly slots: number;
    /** Whether it takes new work. */
    readonly state: "ready" | "draining";
}

/** What one published item means. */
export type ItemContent =
    | { readonly kind: "configuration"; readonly configuration: FleetConfiguration; }
    | { readonly kind: "server"; readonly server: ServerEntry; }
    | { readonly kind: "outDataCentre"; readonly dataCentre: DataCentreId; }
    | { readonly kind: "unreadable"; readonly message: string; }
    | { readonly kind: "ignored"; };

/** An item as it is published. */
export interface PublishedItem {
    /** Its key. */
    readonly key: string;
    /** Its content, undecoded. */
    readonly text: string;
    /** Revision of its last change. */
    readonly revision: Revision;
}

/** A change of one item; a change without text removes the item. */
export interface ItemChange {
    /** Key of the item. */
    readonly key: string;
    /** New content; undefined when the item was removed. */
    readonly text: string | undefined;
    /** Revision of the change. */
    readonly revision: Revision;
}

/** All items at one revision. */
export interface PublishedState {
    /** Every change up to here is contained. */
    readonly revision: Revision;
    /** All items. */
    readonly items: readonly PublishedItem[];
}

/** Result of waiting for changes. */
export type WatchResult =
    | { readonly kind: "changes"; readonly revision: Revision; readonly changes: readonly ItemChange[]; }
    | { readonly kind: "historyLost"; };

/** The platform's published state: it can be read and watched, never written. */
export interface PublishedSource {
    /**
     * Reads everything, without stale answers.
     *
     * @param signal - gives the read up
     * @returns all items; changes after the returned revision may be contained already
     */
    readAll(signal: AbortSignal): Promise<PublishedState>;
    /**
     * Waits for changes.
     *
     * @param after - revision after which changes are wanted
     * @param waitMs - longest wait, in milliseconds
     * @param signal - gives the wait up
     * @returns the changes, none when the wait ended without one
     */
    watch(after: Revision, waitMs: number, signal: AbortSignal): Promise<WatchResult>;
    /**
     * Reads one item. Bad content gives `unreadable`, it never throws.
     *
     * @param key - key of the item
     * @param text - its undecoded content
     */
    decode(key: string, text: string): ItemContent;
}
