/**
 * Health of the groups of model servers of one service. Each group runs its passes on its own: while one lacks
 * a rank, the others serve.
 *
 * @packageDocumentation
 */

import { GroupHealth, type GroupHealthOptions } from "./groupHealth.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Name under which servers of an unknown group are treated as one group. */
const UNKNOWN_GROUP = "";

/** Groups of one service, by name. */
export class ServiceGroups {
    private readonly healthByName = new Map<string, GroupHealth>();

    /** @param options - clock, log and service */
    public constructor(private readonly options: Omit<GroupHealthOptions, "group">) {}

    /**
     * Returns the health of a group; creates it on first use.
     *
     * @param name - name of the group; undefined for servers whose group is not known
     */
    public named(name: string | undefined): GroupHealth {
        const key = name ?? UNKNOWN_GROUP;
        let health = this.healthByName.get(key);
        if (!health) {
            health = new GroupHealth({ ...this.options, group: key });
            this.healthByName.set(key, health);
        }
        return health;
    }

    /** Lists the groups that were used so far, with their names. */
    public all(): IterableIterator<[string, GroupHealth]> {
        return this.healthByName.entries();
    }

    /**
     * Selects the servers whose groups are up. A server whose group is not known may be the one that a group
     * that is down waits for, so it counts as down while any group is.
     *
     * @param servers - servers of the service
     */
    public usable(servers: readonly TrackedServer[]): TrackedServer[] {
        const isAnyDown = servers.some(({ groupName }) => this.named(groupName).isDown);
        return servers.filter(({ groupName }) =>
            groupName === undefined ? !isAnyDown : !this.named(groupName).isDown
        );
    }

    /**
     * Selects the servers for a request: those whose groups are up and send bytes; if there are none, those
     * whose groups are up.
     *
     * @param servers - servers of the service
     */
    public preferred(servers: readonly TrackedServer[]): TrackedServer[] {
        const usable = this.usable(servers);
        const responsive = usable.filter(server => !this.named(server.groupName).isSilent);
        return responsive.length > 0 ? responsive : usable;
    }

    /**
     * Uses up the probe of a group that is down.
     *
     * @param servers - servers of the service
     * @returns the servers of that group; undefined if no probe is due
     */
    public takeProbe(servers: readonly TrackedServer[]): TrackedServer[] | undefined {
        for (const name of new Set(servers.map(({ groupName }) => groupName))) {
            const health = this.named(name);
            if (health.isDown && health.allowRequest()) {
                return servers.filter(({ groupName }) => groupName === name);
            }
        }
        return undefined;
    }

    /**
     * Computes when a caller that was refused because all groups are down should retry.
     *
     * @param remainingMs - remaining time of the caller, in milliseconds
     */
    public retryAfterMs(remainingMs: number): number {
        return this.named(undefined).retryAfterMs(remainingMs);
    }
}
