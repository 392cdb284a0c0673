/**
 * What the tasks of one entry share.
 *
 * @packageDocumentation
 */

import type { TicketIssuer } from "@magnolialock/agent";
import type { ConfigurationStore } from "@magnolialock/control";
import type { DataCentreId, InstanceId, Runtime } from "@magnolialock/kernel";
import type { AgentDirectory } from "./agentDirectory.ts";
import type { RoutingPolicy } from "./routingPolicy.ts";

/** State of one entry. */
export interface EntryContext {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Name of the entry. */
    readonly instance: InstanceId;
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Agents that the configuration names. */
    readonly agents: AgentDirectory;
    /** Chooses the agent of an attempt. */
    readonly policy: RoutingPolicy;
    /** Mints tickets of requests that may not be repeated. */
    readonly tickets: TicketIssuer;
}
