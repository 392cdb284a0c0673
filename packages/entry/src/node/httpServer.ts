/**
 * HTTP/1.1 and HTTP/2 server of the callers' interface, with limits against slow clients.
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
    /** Protocol; HTTP/2 is without TLS and with prior knowledge. */
    readonly protocol: "http1" | "http2";
}

/** Largest size of all headers of a request, in bytes. */
const MAX_HEADER_BYTES = 16_384;
/** Longest time for the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Longest time for a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Idle connections are closed after this time, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/**
 * Serves the application.
 *
 * @param options - application, address and protocol
 * @returns disposing it stops new connections and waits for open ones
 */
export const listenHttp = (options: HttpServerOptions): Promise<AsyncDisposable> =>
    new Promise((resolve, reject) => {
        const { host, port } = splitAddress(options.address);
        const common = { fetch: options.app.fetch, hostname: host, port };
        const onListening = (): void =>
            resolve({
                [Symbol.asyncDispose]: () =>
                    new Promise(closed => {
                        server.close(() => closed());
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
