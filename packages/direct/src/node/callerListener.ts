/**
 * Callers' side over HTTP/1.1. It works on raw requests: host, path, headers and body must pass unchanged.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, splitAddress } from "@magnolialock/kernel";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { CallerReply, IncomingCall, ResponseHead } from "../types/call.ts";
import type { CallerLimits } from "../types/fleetPicture.ts";

/** Options of {@link openCallerListener}. */
export interface CallerListenerOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Where to listen. */
    readonly address: Address;
    /** Serves one call; resolves when it is over and never rejects. */
    readonly serve: (call: IncomingCall, reply: CallerReply) => Promise<void>;
}

/** Bounds before a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 10_000,
    idleTimeoutMs: 60_000,
};
/** Connections are kept this much longer than callers may leave them idle, in milliseconds: a request must not cross a close. */
const TIMEOUT_MARGIN_MS = 2_000;
/** Largest size of headers that the parser takes, in bytes. */
const MAX_HEADER_BYTES = 65_536;
const HTTP_TOO_LARGE = 413;

/** Callers' side of a direct entry. */
export interface CallerListener extends AsyncDisposable {
    /** Requests that were read and are not answered yet. */
    readonly running: number;
    /**
     * Takes the bounds of a configuration.
     *
     * @param limits - the bounds
     */
    applyLimits(limits: CallerLimits): void;
    /** Ends each connection with its next answer. */
    beginStop(): void;
    /** Takes no more connections, and ends those that are idle. */
    closeIdle(): void;
}

/** Reply over a response of Node's server. */
class HttpReply implements CallerReply {
    public readonly disconnected: AbortSignal;
    private readonly controller = new AbortController();
    private isFinished = false;

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
        // The caller went away while bytes were on their way; `close` follows and tells the task.
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
        this.response.destroy();
    }

    private writeHead(head: ResponseHead): void {
        if (head.isCloseDelimited) {
            // A length or a last chunk would vouch for an end that the backend server has not vouched for.
            this.response.useChunkedEncodingByDefault = false;
            this.response.shouldKeepAlive = false;
        }
        if (this.isStopping()) {
            this.response.setHeader("connection", "close");
        }
        this.response.writeHead(head.status, head.headers as Record<string, string | string[]>);
    }
}

/** Reads a whole body; undefined when it is too large. */
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
 * Opens the callers' side.
 *
 * @param options - address and what serves the calls
 * @returns the open front
 * @throws when the address cannot be bound
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
            // The caller closed its connection within the body: there is no request and nobody to answer.
            response.destroy();
            return;
        }
        if (!body) {
            response.setHeader("connection", "close");
            reply.sendWhole({ status: HTTP_TOO_LARGE, headers: {} }, Buffer.alloc(0));
            return;
        }
        running++;
        try {
            await options.serve({
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers: joinRepeatedHeaders(request),
                rawHeaders: request.rawHeaders,
                body,
                receivedMs,
            }, reply);
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
