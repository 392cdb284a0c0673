/**
 * The rules of one accepted revision, ready to use.
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

/** Class of urgency of a call. */
export type PriorityClass = typeof PRIORITY_CLASSES[number];

/** A data centre. */
export interface DataCentreRule {
    /** Its name. */
    readonly name: DataCentreId;
    /** Region that it lies in. */
    readonly region: string;
}

/** A service that callers use. */
export interface ServiceRule {
    /** Its name, the first part of the path. */
    readonly name: ServiceName;
    /** Model services stream tokens and resume; plain services answer once. */
    readonly kind: "model" | "plain";
    /** Deadline of a call that names none, in milliseconds. */
    readonly deadlineMs: number;
    /**
     * Longest time that a warm server takes, in milliseconds: between two tokens of a model service, for the whole
     * answer of a plain service. Undefined where the rules tell none; agents then learn it.
     */
    readonly warmTimeMs: number | undefined;
}

/** A backend server and what it bears. */
export interface ServerRule {
    /** Its name. */
    readonly name: BackendServerId;
    /** Service that it runs. */
    readonly service: ServiceName;
    /** Data centre that it stands in. */
    readonly dataCentre: DataCentreId;
    /** Address of the agent beside it. */
    readonly agent: Address;
    /** Calls that it bears at once in cold start. */
    readonly coldLimit: number;
    /** Calls that it bears at once when warm. */
    readonly warmLimit: number;
    /** Calls that may wait in the agent. */
    readonly queueLimit: number;
}

/** A client account and its limits. */
export interface AccountRule {
    /** Its name. */
    readonly name: ClientAccountId;
    /** SHA-256 of its API key, in hexadecimal digits. */
    readonly keyHash: string;
    /** Calls per second over all entries. */
    readonly ratePerS: number;
    /** Calls that may come at once. */
    readonly burst: number;
    /** Share under contention, relative to other accounts. */
    readonly weight: number;
}

/** How one kind of call of a service is treated. */
export interface CallRule {
    /** Service that it belongs to. */
    readonly service: ServiceName;
    /** HTTP method. */
    readonly method: string;
    /** Path below the service; a trailing `*` matches any rest. */
    readonly path: string;
    /** Its urgency. */
    readonly priority: PriorityClass;
    /** Whether running it twice does no harm. */
    readonly isRepeatable: boolean;
}

/** A group of ranks that run in lock-step. */
export interface GroupRule {
    /** Its name. */
    readonly name: GroupName;
    /** Service that it runs. */
    readonly service: ServiceName;
    /** Its backend servers, in the order of ranks. */
    readonly servers: readonly BackendServerId[];
    /** Experts in each layer. */
    readonly experts: number;
    /** Layers with experts. */
    readonly layers: number;
    /** Expert copies that a rank has memory for, in each layer. */
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
    /** Calls, in the order of the file; the first match counts. */
    readonly calls: readonly CallRule[];
    /** Groups of ranks by name. */
    readonly groups: ReadonlyMap<GroupName, GroupRule>;
    /** Data centres that operators have taken out. */
    readonly outDataCentres: ReadonlySet<DataCentreId>;
    /** Backend servers that operators are draining. */
    readonly drainingServers: ReadonlySet<BackendServerId>;
}
