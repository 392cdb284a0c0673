/**
 * Connection pool for backend servers, on undici. Each connection carries one request at a time. Which idle
 * connection may be reused depends on the request, so each connection is a separate undici client instead of
 * part of an undici pool.
 *
 * @packageDocumentation
 */

import {
    type Address,
    type Clock,
    errorMessage,
    meterReads,
    ProtocolError,
    sleep,
    splitAddress,
} from "@magnolialock/kernel";
import { connect, type Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type {
    ProbeResult,
    UpstreamCall,
    UpstreamClient,
    UpstreamConsumer,
    UpstreamEnd,
    UpstreamRequest,
} from "../types/call.ts";

/**
 * Timeout for opening a connection, in milliseconds. A lost SYN packet is retransmitted only after a second,
 * so a wait between this time and a second gains nothing.
 */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Time after which idle connections are closed, in milliseconds, unless the server states a timeout; servers
 * close idle connections without notice.
 */
const IDLE_TIMEOUT_MS = 4_000;
/** Time before the server's stated idle timeout from which a connection is not reused, in milliseconds. */
const IDLE_TIMEOUT_MARGIN_MS = 500;
/**
 * Idle time before the first TCP keep-alive probe, in milliseconds: the shortest that the operating system
 * accepts.
 */
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/** Heads with a lower status are interim: the answer follows them. */
const FIRST_FINAL_STATUS = 200;
/** Lowest and highest status that HTTP defines; a head with another one is no answer. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;
/** Interim status that ends HTTP on a connection; no request asks for it. */
const HTTP_SWITCHING_PROTOCOLS = 101;
/** Most interim heads before an answer. */
const MAX_INTERIM_HEADS = 16;

/**
 * Bytes of a response beside its body that are read in any case. The parser limits header lines itself, but not the status
 * line, chunk sizes and chunk extensions.
 */
const MAX_HEAD_BYTES = 256 * 1024;
/** Bytes of framing for each byte of a body: a chunk of one byte takes five. */
const MAX_FRAMING_FACTOR = 8;

const isValidStatus = (status: number): boolean =>
    status >= MIN_STATUS && status <= MAX_STATUS && status !== HTTP_SWITCHING_PROTOCOLS;

const RESET_END: UpstreamEnd = {
    kind: "broken",
    message: "the connection was reset before the answer's end",
};

/**
 * Tells whether the peer reset a connection whose data have ended. Node.js reports a reset that is read together with the
 * last bytes as a normal end; the operating system then no longer knows the peer, as it still does after a close.
 */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/** A connection that carries at most one request at a time. */
class ServerConnection {
    public readonly client: Client;
    /** Time at which it became idle, in milliseconds. */
    public idleSinceMs = 0;
    /** Whether a request was sent over it before the current one. */
    public isReused = false;
    /** Whether it was closed and must not be reused. */
    public isClosed = false;
    /**
     * Whether the peer reset it or this side aborted it: a close-delimited response that ends so is incomplete.
     */
    public wasReset = false;
    private socket: Socket | undefined;
    private bytesRead = 0;
    private bodyBytes = 0;
    private onOverlong: () => void = () => {};
    private onSocketClosed: () => void = () => {};

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
                    if (socket) {
                        meterReads(socket, bytes => this.recordRead(bytes));
                        // Before the listeners of undici: an assertion that fails in one of them keeps the next ones from
                        // being called, and the request without an end.
                        socket.once("close", () => setImmediate(() => this.onSocketClosed()));
                    }
                    socket?.on("error", () => this.wasReset = true);
                    socket?.on("end", () => this.wasReset ||= isReset(socket));
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
     * Sends a request.
     *
     * @param request - the request
     * @param handler - receiver of the response
     */
    public dispatch(
        { body, headers, method, path }: UpstreamRequest,
        handler: Dispatcher.DispatchHandler,
    ): void {
        this.client.dispatch(
            {
                method: method as Dispatcher.HttpMethod,
                path,
                headers: headers as string[],
                body: body.length > 0 ? body : undefined,
            },
            handler,
        );
    }

    /**
     * Begins to count the bytes of the next response.
     *
     * @param onOverlong - called when it takes far more bytes than its body
     * @param onSocketClosed - called after the socket has closed, also if the HTTP client reports nothing
     */
    public beginResponse(onOverlong: () => void, onSocketClosed: () => void): void {
        this.bytesRead = 0;
        this.bodyBytes = 0;
        this.onOverlong = onOverlong;
        this.onSocketClosed = onSocketClosed;
    }

    /**
     * Records bytes of the body of the current response.
     *
     * @param bytes - their number
     */
    public recordBody(bytes: number): void {
        this.bodyBytes += bytes;
    }

    /**
     * Resets the connection, so that data the server has not read yet is discarded. A normal close would
     * still deliver an aborted request, for instance to a server whose machine was paused.
     */
    public abort(reason: string): void {
        this.wasReset = true;
        this.socket?.resetAndDestroy();
        this.close(reason);
    }

    /** Returns whether the response is read on. */
    private recordRead(bytes: number): boolean {
        this.bytesRead += bytes;
        const isOverlong = this.bytesRead > MAX_HEAD_BYTES + this.bodyBytes * (1 + MAX_FRAMING_FACTOR);
        if (isOverlong) {
            // The parser must not lose its socket while it reads.
            setImmediate(this.onOverlong);
        }
        return !isOverlong;
    }

    public close(reason?: string): void {
        if (!this.isClosed) {
            this.isClosed = true;
            // The handler of the running request receives the error; the returned promise adds no
            // information.
            this.client.destroy(new Error(reason ?? "the connection was closed")).catch(() => {});
        }
    }
}

/** Connection pool for all backend servers. */
export class ServerConnections implements UpstreamClient, Disposable {
    private readonly idle = new Map<string, ServerConnection[]>();
    private readonly probes = new Map<Address, Promise<ProbeResult>>();
    private openedCount = 0;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

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
            pause: () => controller?.pause(),
            resume: () => controller?.resume(),
        };
    }

    /** {@inheritDoc UpstreamClient.probe} */
    public async probe(address: Address): Promise<ProbeResult> {
        let probe = this.probes.get(address);
        if (!probe) {
            probe = this.connectOnce(address);
            this.probes.set(address, probe);
            void probe.then(() => this.probes.delete(address));
        }
        return probe;
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

    private async connectOnce(address: Address): Promise<ProbeResult> {
        const { host, port } = splitAddress(address);
        const socket = connect({ host, port });
        const ended = new AbortController();
        const connected = new Promise<ProbeResult>(resolve => {
            socket.once("connect", () => resolve("accepted"));
            // A connection that the server resets at once was accepted; other errors leave it open.
            socket.once(
                "error",
                (error: NodeJS.ErrnoException) =>
                    resolve(error.code === "ECONNREFUSED" ? "refused" : "silent"),
            );
        });
        const timeout = sleep(this.clock, CONNECT_TIMEOUT_MS, ended.signal)
            .then((): ProbeResult => "silent", (): ProbeResult => "silent");
        const result = await Promise.race([connected, timeout]);
        ended.abort();
        socket.destroy();
        return result;
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
            // The remaining connections have been idle even longer, but repeatable requests may still use
            // them.
            idle.push(connection);
            break;
        }
        this.openedCount++;
        return new ServerConnection(address);
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
