/**
 * The parsed rules of one accepted revision.
 *
 * @packageDocumentation
 */

import type {
    Address,
    BackendServerId,
    ClientAccountId,
    DataCentreId,
    GroupName,
    ServiceName,
} from "@magnolialock/kernel";

/** Priority classes, the most urgent first. */
export const PRIORITY_CLASSES = ["status", "booking", "interactive", "batch"] as const;

/** Priority class of a call. */
export type PriorityClass = typeof PRIORITY_CLASSES[number];

/** A data centre. */
export interface DataCentreRule {
    /** Its name. */
    readonly name: DataCentreId;
    /** Region that it belongs to. */
    readonly region: string;
}

/** A service that callers use. */
export interface ServiceRule {
    /** Its name, the first segment of the path. */
    readonly name: ServiceName;
    /** Model services stream tokens and can be resumed; plain services send one whole response. */
    readonly kind: "model" | "plain";
    /** Deadline of a call that does not specify one, in milliseconds. */
    readonly deadlineMs: number;
    /**
     * Longest time that a warm server takes, in milliseconds: between two tokens of a model service, or for
     * the whole response of a plain service. Undefined if the rules do not give it; agents then learn it.
     */
    readonly warmTimeMs: number | undefined;
}

/** A backend server and its limits. */
export interface ServerRule {
    /** Its name. */
    readonly name: BackendServerId;
    /** Service that it runs. */
    readonly service: ServiceName;
    /** Data centre that it is located in. */
    readonly dataCentre: DataCentreId;
    /** Address of its agent. */
    readonly agent: Address;
    /** Limit of concurrent calls during cold start. */
    readonly coldLimit: number;
    /** Limit of concurrent calls when warm. */
    readonly warmLimit: number;
    /** Calls that may wait in the agent's queue. */
    readonly queueLimit: number;
}

/** A client account and its limits. */
export interface AccountRule {
    /** Its name. */
    readonly name: ClientAccountId;
    /** SHA-256 of its API key, in hexadecimal digits. */
    readonly keyHash: string;
    /** Rate limit across all entries, in calls per second. */
    readonly ratePerS: number;
    /** Burst size: calls that may arrive at once. */
    readonly burst: number;
    /** Weight of its share under contention, relative to other client accounts. */
    readonly weight: number;
}

/** Priority and repeatability of the calls of a service that match a method and a path. */
export interface CallRule {
    /** Service that it belongs to. */
    readonly service: ServiceName;
    /** HTTP method. */
    readonly method: string;
    /** Path below the service; a trailing `*` matches any suffix. */
    readonly path: string;
    /** Priority class of the calls. */
    readonly priority: PriorityClass;
    /** Whether running a call more than once does no harm. */
    readonly isRepeatable: boolean;
}

/** A group of ranks that run in lock-step. */
export interface GroupRule {
    /** Its name. */
    readonly name: GroupName;
    /** Service that it runs. */
    readonly service: ServiceName;
    /** Its backend servers, in rank order. */
    readonly servers: readonly BackendServerId[];
    /** Number of experts per layer. */
    readonly experts: number;
    /** Number of layers with experts. */
    readonly layers: number;
    /** Number of expert copies that a rank has memory for, per layer. */
    readonly slotsPerRank: number;
}

/** All rules of one revision. */
export interface RuleSet {
    /** Data centres by name. */
    readonly dataCentres: ReadonlyMap<DataCentreId, DataCentreRule>;
    /** Services by name. */
    readonly services: ReadonlyMap<ServiceName, ServiceRule>;
    /** Backend servers by name. */
    readonly servers: ReadonlyMap<BackendServerId, ServerRule>;
    /** Client accounts by name. */
    readonly accounts: ReadonlyMap<ClientAccountId, AccountRule>;
    /** Call rules, in the order of the file; the first match applies. */
    readonly calls: readonly CallRule[];
    /** Groups of ranks by name. */
    readonly groups: ReadonlyMap<GroupName, GroupRule>;
    /** Data centres that operators have taken out of service. */
    readonly outDataCentres: ReadonlySet<DataCentreId>;
    /** Backend servers that operators are draining. */
    readonly drainingServers: ReadonlySet<BackendServerId>;
}
