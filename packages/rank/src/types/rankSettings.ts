/**
 * Settings of a rank agent.
 *
 * @packageDocumentation
 */

import type { Address, InstanceId, ServiceName } from "@magnolialock/kernel";

/** Settings of one rank agent. */
export interface RankSettings {
    /** Name of the instance. */
    readonly instance: InstanceId;
    /** Service of the backend server that the agent controls. */
    readonly service: ServiceName;
    /** Address of that backend server. */
    readonly server: Address;
    /** Address on which the agent listens for other agents; the port must be the same on all machines. */
    readonly listen: Address;
    /** Addresses on which entries answer other instances; not every entry has to be listed. */
    readonly entries: readonly Address[];
}
