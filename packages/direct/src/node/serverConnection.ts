/**
 * Connection to a backend server, on undici.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, meterReads } from "@magnolialock/kernel";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { UpstreamRequest } from "../types/call.ts";

/**
 * Timeout for opening a connection, in milliseconds. A lost SYN packet is retransmitted only after a second,
 * so a wait between this time and a second gains nothing.
 */
export const CONNECT_TIMEOUT_MS = 300;
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

/**
 * Bytes of a response beside its body that are read in any case. The parser limits header lines itself, but not the status
 * line, chunk sizes and chunk extensions.
 */
const MAX_HEAD_BYTES = 256 * 1024;
/** Bytes of framing for each byte of a body: a chunk of one byte takes five. */
const MAX_FRAMING_FACTOR = 8;

/**
 * Tells whether the peer reset a connection whose data have ended. Node.js reports a reset that is read together with the
 * last bytes as a normal end; the operating system then no longer knows the peer, as it still does after a close.
 */
const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;

/** A connection that carries at most one request at a time. */
export class ServerConnection {
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
    /** Time at which the server closed or reset it, in milliseconds; undefined if it has not. */
    public endedByPeerMs: number | undefined;
    /** Time at which the server last sent something, in milliseconds; undefined before. */
    public lastReadMs: number | undefined;
    /** Whether it is not read now: its end would not be noticed. */
    private isPaused = false;
    private socket: Socket | undefined;
    private bytesRead = 0;
    private bodyBytes = 0;
    private onOverlong: () => void = () => {};
    private onSocketClosed: () => void = () => {};

    /**
     * @param address - address of the server
     * @param clock - source of time
     * @param onClosed - called once it has closed
     */
    public constructor(
        address: Address,
        private readonly clock: Pick<Clock, "nowMs">,
        private readonly onClosed: () => void,
    ) {
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
                    socket?.on("error", () => {
                        this.endedByPeerMs ??= this.isClosed ? undefined : clock.nowMs();
                        this.wasReset = true;
                    });
                    socket?.on("end", () => {
                        this.endedByPeerMs ??= clock.nowMs();
                        this.wasReset ||= isReset(socket);
                    });
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

    /** Whether it is open and its end would be noticed. */
    public get isOpen(): boolean {
        return this.socket !== undefined && !this.isClosed && !this.isPaused
            && this.endedByPeerMs === undefined;
    }

    /** Whether another request may be sent over it: neither the server nor the HTTP client has begun to close it. */
    public get isReusable(): boolean {
        return !this.isClosed && this.endedByPeerMs === undefined && this.socket?.destroyed === false;
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
        this.isPaused = false;
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
     * Stops reading the response.
     *
     * @param controller - its controller; undefined before it began
     */
    public pause(controller: Dispatcher.DispatchController | undefined): void {
        this.isPaused = true;
        controller?.pause();
    }

    /**
     * Reads the response on.
     *
     * @param controller - its controller; undefined before it began
     */
    public resume(controller: Dispatcher.DispatchController | undefined): void {
        this.isPaused = false;
        controller?.resume();
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

    /**
     * Closes the connection; the running request fails.
     *
     * @param reason - reason, for logs
     */
    public close(reason?: string): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.onClosed();
            // The handler of the running request receives the error; the returned promise adds no
            // information.
            this.client.destroy(new Error(reason ?? "the connection was closed")).catch(() => {});
        }
    }

    /** Returns whether the response is read on. */
    private recordRead(bytes: number): boolean {
        this.bytesRead += bytes;
        this.lastReadMs = this.clock.nowMs();
        const isOverlong = this.bytesRead > MAX_HEAD_BYTES + this.bodyBytes * (1 + MAX_FRAMING_FACTOR);
        if (isOverlong) {
            // The parser must not lose its socket while it reads.
            setImmediate(this.onOverlong);
        }
        return !isOverlong;
    }
}
