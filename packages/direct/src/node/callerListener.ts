/**
 * HTTP/1.1 listener for callers. It uses Node's server without a framework, since host, path, headers and
 * body must be forwarded unchanged.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, splitAddress } from "@magnolialock/kernel";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { CallerReply, IncomingCall, ResponseHead } from "../types/call.ts";
import type { CallerLimits } from "../types/publishedState.ts";

/** Options of {@link openCallerListener}. */
export interface CallerListenerOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Listen address. */
    readonly address: Address;
    /** Serves one request; resolves when it has ended and never rejects. */
    readonly serve: (call: IncomingCall, reply: CallerReply) => Promise<void>;
    /** Called for a request whose connection ended before all bytes of its answer had left. */
    readonly onUnsent: (call: IncomingCall) => void;
}

/** Limits until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 10_000,
    idleTimeoutMs: 60_000,
};
/**
 * Time added to the configured idle and header timeouts, in milliseconds, so that the listener does not close
 * a connection while a request is on its way.
 */
const TIMEOUT_MARGIN_MS = 2_000;
/** Maximum size of headers that the parser accepts, in bytes. */
const MAX_HEADER_BYTES = 65_536;
const HTTP_TOO_LARGE = 413;

/** Listener of a direct entry for callers. */
export interface CallerListener extends AsyncDisposable {
    /** Number of requests that were received and have not ended. */
    readonly running: number;
    /**
     * Applies the limits of a configuration.
     *
     * @param limits - the limits
     */
    applyLimits(limits: CallerLimits): void;
    /** Closes each connection after its next response. */
    beginStop(): void;
    /** Stops accepting connections and closes idle ones. */
    closeIdle(): void;
}

/** Reply on a response of Node's HTTP server. */
class HttpReply implements CallerReply {
    public readonly disconnected: AbortSignal;
    private readonly controller = new AbortController();
    private isFinished = false;
    private isCloseDelimited = false;

    public constructor(
        private readonly response: ServerResponse,
        private readonly isStopping: () => boolean,
    ) {
        this.disconnected = this.controller.signal;
        response.sendDate = false;
        response.once("close", () => {
            if (!this.isFinished) {
                this.controller.abort();
            }
        });
        // The caller disconnected during a write. The `close` event follows and aborts the request.
        response.on("error", () => {});
    }

    public sendWhole(head: ResponseHead, body: Buffer): void {
        this.isFinished = true;
        const length = head.isCloseDelimited ? {} : { "content-length": String(body.length) };
        this.writeHead({ ...head, headers: { ...head.headers, ...length } });
        this.response.end(body);
    }

    public startStream(head: ResponseHead): void {
        this.writeHead(head);
    }

    public write(bytes: Buffer): boolean {
        return this.response.write(bytes);
    }

    public onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    public end(): void {
        this.isFinished = true;
        this.response.end();
    }

    public abort(): void {
        this.isFinished = true;
        if (this.isCloseDelimited) {
            // A normal close is how such a response ends when it is complete.
            this.response.socket?.resetAndDestroy();
        }
        this.response.destroy();
    }

    private writeHead(head: ResponseHead): void {
        if (head.isCloseDelimited) {
            // A `Content-Length` or a last chunk would mark the body as complete, which the backend server
            // has not done.
            this.isCloseDelimited = true;
            this.response.useChunkedEncodingByDefault = false;
            this.response.shouldKeepAlive = false;
        }
        if (this.isStopping()) {
            this.response.setHeader("connection", "close");
        }
        this.response.writeHead(head.status, head.headers as Record<string, string | string[]>);
    }
}

/** Reads a complete body; returns undefined if it is too large. */
const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
};

const joinRepeatedHeaders = (request: IncomingMessage): Record<string, string | undefined> => {
    const headers: Record<string, string | undefined> = {};
    for (const [name, value] of Object.entries(request.headers)) {
        headers[name] = Array.isArray(value) ? value.join(",") : value;
    }
    return headers;
};

const listen = async (server: Server, address: Address): Promise<void> => {
    const { host, port } = splitAddress(address);
    server.listen(port, host);
    await once(server, "listening");
};

/**
 * Opens the listener for callers.
 *
 * @param options - listen address and request handler
 * @returns the listener
 * @throws if the address cannot be bound
 */
export const openCallerListener = async (options: CallerListenerOptions): Promise<CallerListener> => {
    const { clock } = options;
    let limits = DEFAULT_LIMITS;
    let isStopping = false;
    let running = 0;

    const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const reply = new HttpReply(response, () => isStopping);
        const receivedMs = clock.nowMs();
        let body: Buffer | undefined;
        try {
            body = request.headers["content-length"] === undefined
                    && request.headers["transfer-encoding"] === undefined
                ? Buffer.alloc(0)
                : await readBody(request, limits.bodyBytes);
        }
        catch {
            // The caller closed its connection within the body: there is no complete request, and nobody to
            // respond to.
            response.destroy();
            return;
        }
        if (!body) {
            response.setHeader("connection", "close");
            reply.sendWhole({ status: HTTP_TOO_LARGE, headers: {} }, Buffer.alloc(0));
            return;
        }
        const call: IncomingCall = {
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: joinRepeatedHeaders(request),
            rawHeaders: request.rawHeaders,
            body,
            receivedMs,
        };
        response.once("close", () => {
            if (response.writableEnded && !response.writableFinished) {
                options.onUnsent(call);
            }
        });
        running++;
        try {
            await options.serve(call, reply);
        }
        finally {
            running--;
        }
    };

    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true }, (request, response) => {
        void handleRequest(request, response);
    });
    const applyLimits = (next: CallerLimits): void => {
        limits = next;
        server.headersTimeout = next.headerTimeoutMs + TIMEOUT_MARGIN_MS;
        server.keepAliveTimeout = next.idleTimeoutMs + TIMEOUT_MARGIN_MS;
    };
    applyLimits(DEFAULT_LIMITS);
    server.requestTimeout = 0;
    await listen(server, options.address);
    return {
        get running() {
            return running;
        },
        applyLimits,
        beginStop: () => {
            isStopping = true;
        },
        closeIdle: () => {
            server.close();
            server.closeIdleConnections();
        },
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
