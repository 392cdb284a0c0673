/**
 * What an installation tells a rank agent.
 *
 * @packageDocumentation
 */

import type { Address, InstanceId, ServiceName } from "@magnolialock/kernel";

/** Settings of one rank agent. */
export interface RankSettings {
    /** Name of the instance. */
    readonly instance: InstanceId;
    /** Service of the server beside which it stands. */
    readonly service: ServiceName;
    /** That server. */
    readonly server: Address;
    /** Where other agents connect; the port is the same on all machines. */
    readonly listen: Address;
    /** Where some entries answer other instances. */
    readonly entries: readonly Address[];
}
