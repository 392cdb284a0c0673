/**
 * Connections to backend servers over undici. Each carries one request at a time; which kept connection a request may
 * use depends on the request, so each connection is a client of its own.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, errorMessage } from "@magnolialock/kernel";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type {
    UpstreamCall,
    UpstreamClient,
    UpstreamConsumer,
    UpstreamEnd,
    UpstreamRequest,
} from "../types/call.ts";

/** Longest time to open a connection: a lost first packet is sent again only after a second. */
const CONNECT_TIMEOUT_MS = 300;
/** Idle connections are closed after this time unless the server states one; servers close theirs unannounced. */
const IDLE_TIMEOUT_MS = 4_000;
/** Time before the server's own idle timeout at which a connection is not used any more. */
const IDLE_TIMEOUT_MARGIN_MS = 500;
/** Idle time after which a silent peer is probed, in milliseconds: the least that the system takes. */
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/** A connection that carries at most one request. */
class ServerConnection {
    public readonly client: Client;
    /** When it became idle, in milliseconds. */
    public idleSinceMs = 0;
    /** Whether it was closed or may not be used again. */
    public isClosed = false;
    /** Whether the other side reset it: an answer without a length that ends so is not complete. */
    public wasReset = false;
    private socket: Socket | undefined;

    public constructor(address: Address) {
        const connector = buildConnector({
            timeout: CONNECT_TIMEOUT_MS,
            keepAlive: true,
            keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
        });
        this.client = new Client(`http://${address}`, {
            connect: (options, callback) => {
                connector(options, (...result) => {
                    const [, socket] = result;
                    this.socket = socket ?? undefined;
                    socket?.on("error", () => this.wasReset = true);
                    callback(...result);
                });
            },
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: IDLE_TIMEOUT_MS,
            keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
        });
        this.client.on("disconnect", () => this.close());
        this.client.on("connectionError", () => this.close());
    }

    /**
     * Closes the connection so that what the server has not read yet is dropped: a plain close would still deliver a
     * request that was given up, for instance to a server whose machine stood still.
     */
    public abort(reason: string): void {
        this.socket?.resetAndDestroy();
        this.close(reason);
    }

    public close(reason?: string): void {
        if (!this.isClosed) {
            this.isClosed = true;
            // The error reaches the handler of the request under way; the returned promise says no more.
            this.client.destroy(new Error(reason ?? "the connection was closed")).catch(() => {});
        }
    }
}

/** Kept connections to all backend servers. */
export class ServerConnections implements UpstreamClient, Disposable {
    private readonly idle = new Map<string, ServerConnection[]>();
    private openedCount = 0;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /** Connections that were opened so far. */
    public get opened(): number {
        return this.openedCount;
    }

    /** {@inheritDoc Upstreams.start} */
    public start(
        server: string,
        address: Address,
        request: UpstreamRequest,
        consumer: UpstreamConsumer,
    ): UpstreamCall {
        const connection = this.acquire(server, address, request.maxIdleMs);
        let controller: Dispatcher.DispatchController | undefined;
        let isCloseDelimited = false;
        const ended = new Promise<UpstreamEnd>(resolve => {
            const handler: Dispatcher.DispatchHandler = {
                onRequestStart: started => {
                    if (controller) {
                        started.abort(new Error("a request is never sent twice on its own"));
                        return;
                    }
                    controller = started;
                },
                onResponseStart: (_started, status, headers) => {
                    isCloseDelimited = headers["content-length"] === undefined
                        && headers["transfer-encoding"] === undefined;
                    consumer.onHead({ status, headers, isCloseDelimited });
                },
                onResponseData: (_started, bytes) => consumer.onData(bytes),
                onResponseEnd: () => {
                    if (isCloseDelimited && connection.wasReset) {
                        connection.close();
                        resolve({
                            kind: "broken",
                            message: "the connection was reset before the answer's end",
                        });
                        return;
                    }
                    this.release(server, connection, request.maxIdleConnections);
                    resolve({ kind: "complete" });
                },
                onResponseError: (_started, error) => {
                    connection.close();
                    resolve({ kind: controller ? "broken" : "notSent", message: errorMessage(error) });
                },
            };
            const { method, path, headers, body } = request;
            connection.client.dispatch(
                {
                    method: method as Dispatcher.HttpMethod,
                    path,
                    headers: headers as string[],
                    body: body.length > 0 ? body : undefined,
                },
                handler,
            );
        });
        return {
            ended,
            abort: reason => connection.abort(reason),
            pause: () => controller?.pause(),
            resume: () => controller?.resume(),
        };
    }

    /** {@inheritDoc Upstreams.forget} */
    public closeIdle(server: string): void {
        this.idle.get(server)?.forEach(connection => connection.close());
        this.idle.delete(server);
    }

    /** Closes all idle connections. */
    public [Symbol.dispose](): void {
        for (const server of this.idle.keys()) {
            this.closeIdle(server);
        }
    }

    private acquire(server: string, address: Address, maxIdleMs: number): ServerConnection {
        const idle = this.idle.get(server) ?? [];
        const minIdleSinceMs = this.clock.nowMs() - maxIdleMs;
        for (let connection = idle.pop(); connection; connection = idle.pop()) {
            if (connection.isClosed) {
                continue;
            }
            if (connection.idleSinceMs > minIdleSinceMs) {
                return connection;
            }
            // The others have been idle for longer still, but requests that bear a reset may use them.
            idle.push(connection);
            break;
        }
        this.openedCount++;
        return new ServerConnection(address);
    }

    private release(server: string, connection: ServerConnection, maxIdleConnections: number): void {
        connection.idleSinceMs = this.clock.nowMs();
        const idle = this.idle.get(server) ?? [];
        this.idle.set(server, idle);
        idle.push(connection);
        while (idle.length > maxIdleConnections) {
            idle.shift()?.close();
        }
    }
}
