/**
 * Connection pool for backend servers, on undici. Each connection carries one request at a time. Which idle
 * connection may be reused depends on the request, so each connection is a separate undici client instead of
 * part of an undici pool.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, errorMessage, ProtocolError, sleep } from "@magnolialock/kernel";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Dispatcher } from "undici";
import type {
    ConnectionEnds,
    EndsObserver,
    ProbeResult,
    ServerIdentity,
    ServerIdentityRequest,
    UpstreamCall,
    UpstreamClient,
    UpstreamConsumer,
    UpstreamEnd,
    UpstreamRequest,
} from "../types/call.ts";
import { ServerConnection } from "./serverConnection.ts";
import { ServerIdentities } from "./serverIdentities.ts";
import { ServerProbes } from "./serverProbes.ts";

/** Heads with a lower status are interim: the answer follows them. */
const FIRST_FINAL_STATUS = 200;
/** Lowest and highest status that HTTP defines; a head with another one is no answer. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;
/** Interim status that ends HTTP on a connection; no request asks for it. */
const HTTP_SWITCHING_PROTOCOLS = 101;
/** Most interim heads before an answer. */
const MAX_INTERIM_HEADS = 16;

const isValidStatus = (status: number): boolean =>
    status >= MIN_STATUS && status <= MAX_STATUS && status !== HTTP_SWITCHING_PROTOCOLS;

const RESET_END: UpstreamEnd = {
    kind: "broken",
    message: "the connection was reset before the answer's end",
};

/**
 * Time in which the ends of all connections of a killed server arrive, in milliseconds: its operating system closes them one
 * after the other.
 */
const SETTLE_MS = 50;
/** Longest time between two connections that end together, in milliseconds. */
const TOGETHER_MS = 10;
/** Longest time between the last data of an answer and the end of its connection if the server ends it, in milliseconds. */
const AFTER_DATA_MS = 3;

/** Connection pool for all backend servers. */
export class ServerConnections implements UpstreamClient, Disposable {
    private readonly idle = new Map<string, ServerConnection[]>();
    private readonly probes: ServerProbes;
    private readonly identities: ServerIdentities;
    /** Connections by server, until a while after their end. */
    private readonly tracked = new Map<string, Set<ServerConnection>>();
    private openedCount = 0;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {
        this.probes = new ServerProbes(clock);
        this.identities = new ServerIdentities(clock);
    }

    /** Number of connections opened so far. */
    public get opened(): number {
        return this.openedCount;
    }

    /** {@inheritDoc UpstreamClient.start} */
    public start(
        server: string,
        address: Address,
        request: UpstreamRequest,
        consumer: UpstreamConsumer,
    ): UpstreamCall {
        const connection = this.acquire(server, address, request.maxIdleMs);
        let controller: Dispatcher.DispatchController | undefined;
        let isCloseDelimited = false;
        let isAborted = false;
        let interimHeads = 0;
        let settle: (end: UpstreamEnd) => void = () => {};
        const abort = (reason: string): void => {
            isAborted = true;
            // undici fails an assertion, and reports no end, when the connection of a paused response closes.
            controller?.resume();
            connection.abort(reason);
            settle({ kind: controller ? "broken" : "notSent", message: reason });
        };
        connection.beginResponse(
            () => abort("the server sends a head, or the framing of a body, without end"),
            () => settle({ kind: "broken", message: "the connection closed before the answer's end" }),
        );
        const ended = new Promise<UpstreamEnd>(resolve => {
            settle = resolve;
            const handler: Dispatcher.DispatchHandler = {
                onRequestStart: started => {
                    if (controller) {
                        started.abort(new Error("a request is never sent twice on its own"));
                        return;
                    }
                    controller = started;
                },
                onResponseStart: (_started, status, headers) => {
                    if (!isValidStatus(status)) {
                        // undici aborts the request: it takes a status below 100 for interim, and fails an assertion later.
                        throw new ProtocolError(`the server answers with the invalid status ${status}`);
                    }
                    if (status < FIRST_FINAL_STATUS) {
                        if (++interimHeads > MAX_INTERIM_HEADS) {
                            abort("the server sends interim responses without end");
                        }
                        return;
                    }
                    isCloseDelimited = headers["content-length"] === undefined
                        && headers["transfer-encoding"] === undefined;
                    const isOnReusedConnection = connection.isReused;
                    consumer.onHead({ status, headers, isCloseDelimited, isOnReusedConnection });
                },
                onResponseData: (_started, bytes) => {
                    connection.recordBody(bytes.length);
                    if (!isAborted) {
                        consumer.onData(bytes);
                    }
                },
                onResponseEnd: () => {
                    if (isAborted) {
                        return;
                    }
                    if (isCloseDelimited && connection.wasReset) {
                        connection.close();
                        resolve(RESET_END);
                        return;
                    }
                    this.release(server, connection, request.maxIdleConnections());
                    resolve({ kind: "complete" });
                },
                onResponseError: (_started, error) => {
                    connection.close();
                    resolve({ kind: controller ? "broken" : "notSent", message: errorMessage(error) });
                },
            };
            connection.dispatch(request, handler);
        });
        return {
            ended,
            abort,
            pause: () => connection.pause(controller),
            resume: () => connection.resume(controller),
        };
    }

    /** {@inheritDoc UpstreamClient.probe} */
    public probe(address: Address): Promise<ProbeResult> {
        return this.probes.probe(address);
    }

    /** {@inheritDoc UpstreamClient.observeEnds} */
    public observeEnds(server: string): EndsObserver {
        const endedMs = this.clock.nowMs();
        const before = [...this.tracked.get(server) ?? []];
        const open = before.filter(({ isOpen }) => isOpen);
        const read = (): ConnectionEnds => {
            const stillOpen = open.filter(({ isOpen }) => isOpen);
            const together = before.filter(({ endedByPeerMs = Number.NEGATIVE_INFINITY }) =>
                Math.abs(endedByPeerMs - endedMs) <= TOGETHER_MS
            );
            return {
                stillOpen: stillOpen.length,
                stillAnswering: stillOpen.filter(({ lastReadMs }) => lastReadMs !== undefined).length,
                endedTogether: together.length,
                endedAfterData:
                    together.filter(({ endedByPeerMs = 0, lastReadMs = 0 }) =>
                        endedByPeerMs - lastReadMs <= AFTER_DATA_MS
                    ).length,
            };
        };
        // Timers run before sockets are read.
        const settled = sleep(this.clock, SETTLE_MS).then(() => nextTurn()).then(read);
        return { read, settled: () => settled };
    }

    /** {@inheritDoc UpstreamClient.identify} */
    public identify(asked: ServerIdentityRequest): Promise<ServerIdentity> {
        return this.identities.identify(asked);
    }

    /** {@inheritDoc UpstreamClient.closeIdle} */
    public closeIdle(server: string): void {
        this.idle.get(server)?.forEach(connection => connection.close());
        this.idle.delete(server);
    }

    /** Closes the idle connections to all backend servers. */
    public closeAllIdle(): void {
        for (const server of this.idle.keys()) {
            this.closeIdle(server);
        }
    }

    /** Closes all idle connections. */
    public [Symbol.dispose](): void {
        this.closeAllIdle();
    }

    private acquire(server: string, address: Address, maxIdleMs: number): ServerConnection {
        const idle = this.idle.get(server) ?? [];
        const minIdleSinceMs = this.clock.nowMs() - maxIdleMs;
        for (let connection = idle.pop(); connection; connection = idle.pop()) {
            if (!connection.isReusable) {
                continue;
            }
            if (connection.idleSinceMs > minIdleSinceMs) {
                return connection;
            }
            // The remaining connections have been idle even longer, but repeatable requests may still use
            // them.
            idle.push(connection);
            break;
        }
        this.openedCount++;
        return this.open(server, address);
    }

    private open(server: string, address: Address): ServerConnection {
        const tracked = this.tracked.get(server) ?? new Set<ServerConnection>();
        this.tracked.set(server, tracked);
        const forget = (): void => {
            tracked.delete(connection);
            if (tracked.size === 0) {
                this.tracked.delete(server);
            }
        };
        const connection = new ServerConnection(
            address,
            this.clock,
            () => this.clock.setTimer(SETTLE_MS + TOGETHER_MS, forget),
        );
        tracked.add(connection);
        return connection;
    }

    private release(server: string, connection: ServerConnection, maxIdleConnections: number): void {
        connection.idleSinceMs = this.clock.nowMs();
        connection.isReused = true;
        const idle = this.idle.get(server) ?? [];
        this.idle.set(server, idle);
        idle.push(connection);
        while (idle.length > maxIdleConnections) {
            idle.shift()?.close();
        }
    }
}
