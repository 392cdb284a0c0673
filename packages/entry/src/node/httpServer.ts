/**
 * HTTP/1.1 and HTTP/2 servers for callers; the HTTP/1.1 server has limits against slow clients.
 *
 * @packageDocumentation
 */

import { getRequestListener } from "@hono/node-server";
import { type Address, createSystemClock, splitAddress } from "@magnolialock/kernel";
import type { Hono } from "hono";
import { once } from "node:events";
import { createServer as createHttpServer, type Server } from "node:http";
import { createServer as createHttp2Server, type Http2Server } from "node:http2";
import { Server as NetServer } from "node:net";
import { CallerConnections, type CallerConnectionsOptions } from "./callers/callerConnections.ts";
import { Http2Callers } from "./callers/http2Callers.ts";
import { Http1Connections, Http2Connections, type OpenConnections } from "./openConnections.ts";

/** Handler of the requests of a server. */
type RequestListener = ReturnType<typeof getRequestListener>;

/** Options of {@link listenHttp}. */
export interface HttpServerOptions {
    /** Application to serve. */
    readonly app: Hono;
    /** Address to listen on. */
    readonly address: Address;
    /** Protocol; HTTP/2 runs without TLS, with prior knowledge. */
    readonly protocol: "http1" | "http2";
    /** Time for running responses to end when the server is disposed, in milliseconds. */
    readonly closeTimeoutMs?: number;
    /** Account of what callers hold, and the largest body in bytes; without it nothing is counted. */
    readonly callers?: Pick<CallerConnectionsOptions, "account" | "onClosed"> & {
        readonly maxBodyBytes: number;
    };
}

/** Maximum total size of the headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16_384;
/** Maximum size of the header fields of a request over HTTP/2, in bytes, with the overhead of each (RFC 9113, section 6.5.2). */
const MAX_HEADER_LIST_BYTES = 65_535;
/** Overhead of a header field over HTTP/2, in bytes (RFC 9113, section 6.5.2). */
const HEADER_FIELD_OVERHEAD_BYTES = 32;
/** Timeout for receiving the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Timeout for receiving a complete request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Time after which idle connections are closed, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Time for responses to end when a server is closed, by default, in milliseconds. */
const DEFAULT_CLOSE_TIMEOUT_MS = 1_000;

/** A server and its connections. */
interface OpenServer {
    readonly server: Server | Http2Server;
    readonly connections: OpenConnections;
    /** Bounds on callers, to be disposed with the server. */
    readonly callers?: Disposable | undefined;
}

/** Options of the connections of callers; undefined where they have no bounds. */
const callerOptions = (bounds: HttpServerOptions["callers"]): CallerConnectionsOptions | undefined =>
    bounds && { clock: createSystemClock(), maxSilentMs: () => KEEP_ALIVE_TIMEOUT_MS, ...bounds };

const createHttp1 = (listener: RequestListener, bounds: HttpServerOptions["callers"]): OpenServer => {
    const connections = new Http1Connections();
    const options = callerOptions(bounds);
    const callers = options && new CallerConnections(options);
    const server = createHttpServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    }, connections.wrap(bounds && callers ? callers.wrap(listener, bounds.maxBodyBytes) : listener));
    // The size of the head bounds its lines; Node.js would drop those beyond a number.
    server.maxHeadersCount = 0;
    callers?.follow(server);
    connections.follow(server);
    return { server, connections, callers };
};

const createHttp2 = (listener: RequestListener, bounds: HttpServerOptions["callers"]): OpenServer => {
    const connections = new Http2Connections();
    const options = callerOptions(bounds);
    const callers = options && new Http2Callers(options);
    const server = createHttp2Server({
        settings: { maxHeaderListSize: MAX_HEADER_LIST_BYTES },
        // The size bounds the number of fields; Node.js would refuse more than 128.
        maxHeaderListPairs: Math.ceil(MAX_HEADER_LIST_BYTES / HEADER_FIELD_OVERHEAD_BYTES),
    }, listener);
    callers?.follow(server);
    connections.follow(server);
    return { server, connections, callers };
};

const closeServer = async (
    { callers, server, connections }: OpenServer,
    timeoutMs: number,
): Promise<void> => {
    using _callers = callers;
    const closed = once(server, "close");
    // `close()` of an HTTP server also closes connections whose response has been handed over but has not left.
    NetServer.prototype.close.call(server);
    connections.closeGracefully();
    const timer = createSystemClock().setTimer(timeoutMs, () => connections.destroyAll());
    await closed;
    timer.cancel();
    // Releases the timer with which an HTTP server checks its connections.
    server.close();
};

/** A running HTTP server; disposing it closes it within `closeTimeoutMs`. */
export interface HttpServer extends AsyncDisposable {
    /** Tells callers to use other servers: each connection closes after its next response. */
    drain(): void;
    /**
     * Refuses new connections, closes those without a response to give at once, lets running responses end, and
     * then closes what is left. Only the first call has an effect.
     *
     * @param timeoutMs - time for running responses to end, in milliseconds
     */
    close(timeoutMs: number): Promise<void>;
}

/**
 * Starts an HTTP server for an application.
 *
 * @param options - application, address and protocol
 * @returns the server
 */
export const listenHttp = async (options: HttpServerOptions): Promise<HttpServer> => {
    const { host, port } = splitAddress(options.address);
    const listener = getRequestListener(options.app.fetch, { hostname: host });
    const open = options.protocol === "http1"
        ? createHttp1(listener, options.callers)
        : createHttp2(listener, options.callers);
    open.server.listen(port, host);
    await once(open.server, "listening");
    let closed: Promise<void> | undefined;
    const close = (timeoutMs: number): Promise<void> => closed ??= closeServer(open, timeoutMs);
    return {
        close,
        drain: () => open.connections.drain(),
        [Symbol.asyncDispose]: () => close(options.closeTimeoutMs ?? DEFAULT_CLOSE_TIMEOUT_MS),
    };
};
