/**
 * State that all requests of one entry share.
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

/** Shared state of one entry. */
export interface EntryContext {
    /** Runtime of the process: clock, random numbers, network, events and metrics. */
    readonly runtime: Runtime;
    /** Instance name of the entry. */
    readonly instance: InstanceId;
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Agents of all backend servers in the configuration. */
    readonly agents: AgentDirectory;
    /** Chooses the agent for each attempt. */
    readonly policy: RoutingPolicy;
    /** Mints tickets for non-repeatable requests. */
    readonly tickets: TicketIssuer;
    /** Rate limiter of the client accounts. */
    readonly accountLimiter: AccountLimiter;
    /** Retry budgets: `urgent` for bookings and status reads, `ordinary` for all other requests. */
    readonly retryBudgets: { readonly urgent: RetryBudget; readonly ordinary: RetryBudget; };
    /** Detects that the process was paused. */
    readonly pauseDetector: PauseDetector;
    /** Whether the process resumed so recently that a request read now may have waited during the pause. */
    readonly hasRecentlyResumed: () => boolean;
    /** Aborts when the drain timeout of a stop expires. */
    readonly stopSignal: AbortSignal;
}
