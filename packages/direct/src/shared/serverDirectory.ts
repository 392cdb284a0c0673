/**
 * Directory of the backend servers, with the load that this instance and its peers have there.
 *
 * @packageDocumentation
 */

import type { BackendServerId, DataCentreId, Runtime, ServiceName } from "@magnolialock/kernel";
import type { ResponseHead } from "../types/call.ts";
import type { PublishedServer } from "../types/publishedState.ts";
import { noticeUnreadable, serverAdded, serverKept, serverLeaving } from "./directEvents.ts";
import type { LeavingOrigin } from "./leavingServers.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";
import { readLeaving } from "./serverNotices.ts";
import { TrackedServer } from "./trackedServer.ts";

/** Options of a {@link ServerDirectory}. */
export interface ServerDirectoryOptions {
    /** Runtime of the process. */
    readonly runtime: Pick<Runtime, "clock" | "events">;
    /** Published state of the platform. */
    readonly store: PublishedStateStore;
    /** Returns the time since the end of the platform's last outage, in milliseconds; 0 during one. */
    readonly sinceOutageMs: () => number;
    /** Longest time from a change at the platform until it is read, in milliseconds. */
    readonly changeDelayMs: number;
    /** Name of the header in which servers say that they leave, in lower case. */
    readonly leavingHeader: string;
}

/**
 * Time after an outage for which expired entries stay in use, in milliseconds. Live servers have published
 * themselves again by then; entries still missing belong to servers that have really gone.
 */
const OUTAGE_GRACE_MS = 2_000;
/** Time between two log lines about headers that cannot be read, in milliseconds. */
const UNREADABLE_LOG_PERIOD_MS = 10_000;

/** Tracks all backend servers. */
export class ServerDirectory {
    private readonly options: ServerDirectoryOptions;
    private readonly known = new Map<BackendServerId, TrackedServer>();
    private outDataCentres: ReadonlySet<DataCentreId> = new Set();
    private leftListener: (server: TrackedServer) => void = () => {};
    private nextUnreadableLogMs = Number.NEGATIVE_INFINITY;

    /** @param options - runtime and store */
    public constructor(options: ServerDirectoryOptions) {
        this.options = options;
        options.store.onChange(() => this.reconcile());
        options.store.leaving.onLeaving((key, origin) => this.handleLeaving(key, origin));
    }

    /**
     * Registers the listener that is called when a server gets no new requests any more: it drains, says that it leaves,
     * or has gone.
     *
     * @param listener - the listener
     */
    public onLeft(listener: (server: TrackedServer) => void): void {
        this.leftListener = listener;
    }

    /**
     * Records what a response says about the leaving of its server.
     *
     * @param server - the server
     * @param head - head of a response that the server itself has made
     */
    public recordAnswer(server: TrackedServer, head: ResponseHead): void {
        const { leavingHeader, runtime, store } = this.options;
        const notice = readLeaving(head, leavingHeader);
        if (notice.kind === "leaving") {
            store.leaving.add(server.processKey);
        }
        else if (notice.kind === "unreadable" && runtime.clock.nowMs() >= this.nextUnreadableLogMs) {
            this.nextUnreadableLogMs = runtime.clock.nowMs() + UNREADABLE_LOG_PERIOD_MS;
            const { text } = notice;
            runtime.events.emit(noticeUnreadable, { server: server.entry.id, header: leavingHeader, text });
        }
    }

    /**
     * Lists the backend servers of a service that may get new requests.
     *
     * @param service - the service
     */
    public candidates(service: ServiceName): TrackedServer[] {
        this.removeExpired();
        const servers: TrackedServer[] = [];
        for (const server of this.known.values()) {
            if (server.entry.service === service && this.mayServe(server)) {
                servers.push(server);
            }
        }
        return servers;
    }

    /** All backend servers that are published or still in use after an outage, including draining ones. */
    public all(): IterableIterator<TrackedServer> {
        return this.known.values();
    }

    /**
     * Returns a backend server by identifier.
     *
     * @param id - its identifier
     * @returns the server; undefined if it is unknown
     */
    public find(id: BackendServerId): TrackedServer | undefined {
        return this.known.get(id);
    }

    /**
     * Tells whether a server drains, has said that it leaves, or has gone.
     *
     * @param server - the server
     */
    public isLeaving(server: TrackedServer): boolean {
        return server.entry.state === "draining" || this.options.store.leaving.has(server.processKey)
            || this.known.get(server.entry.id) !== server;
    }

    private mayServe(server: TrackedServer): boolean {
        return !server.isAddressReused && !this.outDataCentres.has(server.entry.dataCentre)
            && !this.isLeaving(server);
    }

    private handleLeaving(key: number, origin: LeavingOrigin): void {
        const { runtime, store } = this.options;
        for (const server of this.known.values()) {
            if (server.processKey === key) {
                runtime.events.emit(serverLeaving, {
                    server: server.entry.id,
                    reason: "it says so in an answer",
                    origin,
                    revision: store.revision,
                });
                this.leftListener(server);
            }
        }
    }

    private reconcile(): void {
        const { clock } = this.options.runtime;
        const { store } = this.options;
        this.outDataCentres = store.outDataCentres();
        const published = store.servers();
        for (const [id, server] of this.known) {
            if (published.has(id)) {
                server.expiresMs = undefined;
                continue;
            }
            const sinceOutageMs = this.options.sinceOutageMs();
            const graceMs = OUTAGE_GRACE_MS + this.options.changeDelayMs;
            const mayReturn = server.entry.state === "ready" && !store.hasDeparted(id);
            if (mayReturn && sinceOutageMs < graceMs) {
                if (server.expiresMs === undefined) {
                    server.expiresMs = clock.nowMs() + graceMs - sinceOutageMs;
                    this.options.runtime.events.emit(serverKept, {
                        server: id,
                        sinceOutageMs: Math.round(sinceOutageMs),
                    });
                }
                continue;
            }
            this.removeServer(server, "gone");
        }
        for (const entry of published.values()) {
            this.putServer(entry);
        }
    }

    private putServer(entry: PublishedServer): void {
        const { runtime, store } = this.options;
        const { id, service, address, bornMs, dataCentre, state } = entry;
        const server = this.known.get(id);
        if (!server || server.entry.address !== address || server.entry.bornMs !== bornMs) {
            if (server) {
                this.leftListener(server);
            }
            this.known.set(id, new TrackedServer(runtime, entry));
            runtime.events.emit(serverAdded, {
                server: id,
                service,
                address,
                dataCentre,
                state,
                revision: store.revision,
            });
            return;
        }
        if (server.entry.state !== state && state === "draining") {
            runtime.events.emit(serverLeaving, { server: id, reason: state, revision: store.revision });
            this.leftListener(server);
        }
        server.entry = entry;
    }

    private removeExpired(): void {
        const nowMs = this.options.runtime.clock.nowMs();
        for (const server of this.known.values()) {
            if (server.expiresMs !== undefined && server.expiresMs <= nowMs) {
                this.removeServer(server, "not back after an outage");
            }
        }
    }

    private removeServer(server: TrackedServer, reason: string): void {
        const { runtime, store } = this.options;
        this.leftListener(server);
        this.known.delete(server.entry.id);
        runtime.events.emit(serverLeaving, { server: server.entry.id, reason, revision: store.revision });
    }
}
