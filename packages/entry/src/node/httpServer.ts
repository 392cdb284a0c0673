/**
 * HTTP/1.1 and HTTP/2 servers for callers; the HTTP/1.1 server has limits against slow clients.
 *
 * @packageDocumentation
 */

import { serve, type ServerType } from "@hono/node-server";
import { type Address, splitAddress } from "@magnolialock/kernel";
import type { Hono } from "hono";
import { createServer as createHttpServer } from "node:http";
import { createServer as createHttp2Server } from "node:http2";

/** Options of {@link listenHttp}. */
export interface HttpServerOptions {
    /** Application to serve. */
    readonly app: Hono;
    /** Address to listen on. */
    readonly address: Address;
    /** Protocol; HTTP/2 runs without TLS, with prior knowledge. */
    readonly protocol: "http1" | "http2";
}

/** Maximum total size of the headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16_384;
/** Timeout for receiving the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Timeout for receiving a complete request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Time after which idle connections are closed, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/**
 * Starts an HTTP server for an application.
 *
 * @param options - application, address and protocol
 * @returns the server; disposing it refuses new connections and waits for open ones to end
 */
export const listenHttp = (options: HttpServerOptions): Promise<AsyncDisposable> =>
    new Promise((resolve, reject) => {
        const { host, port } = splitAddress(options.address);
        const common = { fetch: options.app.fetch, hostname: host, port };
        const onListening = (): void =>
            resolve({
                [Symbol.asyncDispose]: () =>
                    new Promise(onClosed => {
                        server.close(() => onClosed());
                        if ("closeIdleConnections" in server) {
                            server.closeIdleConnections();
                        }
                    }),
            });
        const server: ServerType = options.protocol === "http1"
            ? serve({
                ...common,
                createServer: createHttpServer,
                serverOptions: {
                    maxHeaderSize: MAX_HEADER_BYTES,
                    headersTimeout: HEADERS_TIMEOUT_MS,
                    requestTimeout: REQUEST_TIMEOUT_MS,
                    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
                },
            }, onListening)
            : serve({ ...common, createServer: createHttp2Server }, onListening);
        server.once("error", reject);
    });
