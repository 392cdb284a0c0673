/**
 * Finds out which model servers form a group, and when a group that was down runs again, by asking the rank
 * agents beside the servers. Requests that test a group would be refused, or be held while it stalls.
 *
 * @packageDocumentation
 */

import { errorMessage, shuffled, sleep, timeoutSignal } from "@magnolialock/kernel";
import type { PublishedServer } from "../types/publishedState.ts";
import type { DirectContext } from "./directContext.ts";
import { groupUnreadable } from "./directEvents.ts";
import type { GroupHealth } from "./groupHealth.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** What a rank agent tells about the group of its server. */
export interface ServerGroup {
    /** Name of the group; undefined if the server belongs to none. */
    readonly name: string | undefined;
    /** Whether the group runs passes, as far as the server knows. */
    readonly isOpen: boolean;
    /** Epoch of the group; one that lacked a rank re-forms in a new one. Undefined if there is no group. */
    readonly epoch: number | undefined;
}

/**
 * Asks the rank agent beside a server.
 *
 * @param server - the server
 * @param signal - cancels the call
 * @returns the group; undefined if the server belongs to none
 */
export type ReadServerGroup = (
    server: PublishedServer,
    signal: AbortSignal,
) => Promise<ServerGroup | undefined>;

/** Time between two cycles, in milliseconds. */
const CYCLE_MS = 250;
/** Servers whose group is read in one cycle; all entries of a fleet start at the same time. */
const MAX_READS_PER_CYCLE = 8;
/** Timeout of a read, in milliseconds. */
const READ_TIMEOUT_MS = 500;
/** Time after a failed read before the next one for the same server, in milliseconds. */
const RETRY_MS = 3_000;
/** Shortest time between two reads of a group that is down, in milliseconds. */
const MIN_DOWN_POLL_MS = 500;
/**
 * Time between two reads of a group that is down for each instance of the fleet, in milliseconds: one that sees
 * the group serve tells the others.
 */
const DOWN_POLL_PER_INSTANCE_MS = 15;
/**
 * Time since a group is down after which its servers are believed that it is open, in milliseconds, although
 * nothing shows that it has re-formed; before, they may not have noticed yet that a rank is missing.
 */
const OPEN_BELIEVED_AFTER_MS = 2_500;

/** Keeps the groups of the model servers up to date. */
export class GroupDirectory implements Disposable {
    private readonly stopping = new AbortController();
    private readonly nextReadMs = new WeakMap<TrackedServer, number>();
    private nextDownPollMs = 0;
    /** Groups that are down, as the first read since then found them. */
    private readonly firstReads = new Map<GroupHealth, ServerGroup>();

    /**
     * @param context - state of the entry
     * @param readGroup - asks the agent beside a server
     */
    public constructor(
        private readonly context: DirectContext,
        private readonly readGroup: ReadServerGroup,
    ) {}

    /** Reads groups until disposal. */
    public async run(): Promise<void> {
        const { clock } = this.context.options.runtime;
        const { signal } = this.stopping;
        while (!signal.aborted) {
            await Promise.all([this.readUnknown(), this.pollDown()]);
            await sleep(clock, CYCLE_MS, signal).catch(() => {});
        }
    }

    /** Stops reading. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
    }

    private async readUnknown(): Promise<void> {
        const { directory, runtime } = this.context.options;
        const nowMs = runtime.clock.nowMs();
        const due = [...directory.all()].filter(server =>
            server.groupName === undefined && this.formsGroups(server)
            && (this.nextReadMs.get(server) ?? 0) <= nowMs
        );
        const selected = shuffled(runtime.random, due).slice(0, MAX_READS_PER_CYCLE);
        await Promise.all(selected.map(async server => {
            this.nextReadMs.set(server, nowMs + RETRY_MS);
            const group = await this.read(server);
            server.groupName = group?.name;
        }));
    }

    /**
     * Reads one server of each group that is down while another group serves. While none does, requests test
     * the groups.
     */
    private async pollDown(): Promise<void> {
        const { directory, fleet, runtime } = this.context.options;
        const nowMs = runtime.clock.nowMs();
        if (nowMs < this.nextDownPollMs) {
            return;
        }
        this.nextDownPollMs = nowMs
            + Math.max(MIN_DOWN_POLL_MS, fleet().size * DOWN_POLL_PER_INSTANCE_MS);
        const polls: Promise<void>[] = [];
        for (const [service, { groups }] of this.context.serviceStates()) {
            const candidates = directory.candidates(service);
            for (const [name, health] of groups.all()) {
                const members = candidates.filter(({ groupName }) => groupName === name);
                const [server] = shuffled(runtime.random, members);
                if (!health.isDown) {
                    this.firstReads.delete(health);
                }
                else if (server && groups.usable(candidates).length > 0) {
                    polls.push(this.read(server).then(group => this.applyRead(health, group)));
                }
            }
        }
        await Promise.all(polls);
    }

    private applyRead(health: GroupHealth, group: ServerGroup | undefined): void {
        if (!group || !health.isDown) {
            return;
        }
        const first = this.firstReads.get(health);
        this.firstReads.set(health, first ?? group);
        const hasReformed = first !== undefined && first.epoch !== group.epoch;
        if (group.isOpen && (hasReformed || health.downForMs >= OPEN_BELIEVED_AFTER_MS)) {
            health.markUp();
        }
    }

    private formsGroups({ entry }: TrackedServer): boolean {
        const { configuration } = this.context.options.store;
        return configuration?.services.get(entry.service)?.engine?.experts !== undefined;
    }

    private async read({ entry }: TrackedServer): Promise<ServerGroup | undefined> {
        const { clock, events } = this.context.options.runtime;
        using timeout = timeoutSignal(clock, READ_TIMEOUT_MS, this.stopping.signal);
        try {
            return await this.readGroup(entry, timeout.signal);
        }
        catch (error) {
            events.emit(groupUnreadable, { server: entry.id, error: errorMessage(error) });
            return undefined;
        }
    }
}
