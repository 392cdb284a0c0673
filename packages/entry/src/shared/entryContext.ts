/**
 * What the tasks of one entry share.
 *
 * @packageDocumentation
 */

import type { TicketIssuer } from "@magnolialock/agent";
import type { ConfigurationStore } from "@magnolialock/control";
import type { DataCentreId, InstanceId, PauseDetector, Runtime } from "@magnolialock/kernel";
import type { AccountLimiter } from "./accountLimiter.ts";
import type { AgentDirectory } from "./agentDirectory.ts";
import type { RetryBudget } from "./retryBudget.ts";
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
    /** Limits of the client accounts. */
    readonly accountLimiter: AccountLimiter;
    /** Retries that may be made: of bookings and status reads, and of all other requests. */
    readonly retryBudgets: { readonly urgent: RetryBudget; readonly ordinary: RetryBudget; };
    /** Notices that the process was paused. */
    readonly pauseDetector: PauseDetector;
    /** Whether requests that arrive now may have waited while the process was paused. */
    readonly isJustAwake: () => boolean;
    /** Aborts when the longest drain of a stop is over. */
    readonly stopSignal: AbortSignal;
}
