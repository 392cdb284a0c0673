/**
 * HTTP/1.1 listener for callers. It uses Node's server without a framework, since host, path, headers and
 * body must be forwarded unchanged.
 *
 * @packageDocumentation
 */

import type { CallerConnection } from "@magnolialock/entry/src/node/callers/callerConnection.ts";
import { CallerConnections, headHeapBytes } from "@magnolialock/entry/src/node/callers/callerConnections.ts";
import { CallerAccount, type CloseCause } from "@magnolialock/entry/src/shared/callers/callerAccount.ts";
import type { CallerBounds } from "@magnolialock/entry/src/shared/callers/callerBounds.ts";
import { type Address, type Clock, settlesWithin, sleep, splitAddress } from "@magnolialock/kernel";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as TcpServer } from "node:net";
import { BODY_TOO_LARGE, headerBytesOf } from "../shared/serveCall.ts";
import type { CallerReply, IncomingCall, Refusal, RequestHead } from "../types/call.ts";
import type { CallerLimits } from "../types/publishedState.ts";
import { announcedBytes, hasBody, RequestBodyReader } from "./callerBody.ts";
import { HttpReply } from "./httpReply.ts";

/** Options of {@link openCallerListener}. */
export interface CallerListenerOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Listen address. */
    readonly address: Address;
    /** Serves one request; resolves when it has ended and never rejects. */
    readonly serve: (call: IncomingCall, reply: CallerReply) => Promise<void>;
    /** Tells whether the head of a request decides that it is refused. */
    readonly refuseByHead: (head: RequestHead) => Refusal | undefined;
    /** Refuses one request; its body may be missing. */
    readonly refuse: (call: IncomingCall, reply: CallerReply, refusal: Refusal) => void;
    /** Called for a request whose connection ended before all bytes of its answer had left. */
    readonly onUnsent: (call: IncomingCall) => void;
    /** Bounds on what the process holds for callers. */
    readonly bounds: CallerBounds;
    /** Called when a connection is closed because of what it or all connections hold. */
    readonly onClosed: (cause: CloseCause) => void;
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
/** Longest time for which the rest of a body that is not needed is read after its answer, in milliseconds. */
const MAX_DROP_MS = 1_000;
/** Time for the body of a refused request to arrive, in milliseconds, so that its connection can be kept. */
const REFUSED_BODY_MS = 100;
const NO_BYTES = Buffer.alloc(0);
/** Time for callers to close their connections at the end of a stop before they are destroyed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 150;
const CLOSE_POLL_MS = 10;

/** Listener of a direct entry for callers. */
export interface CallerListener extends AsyncDisposable {
    /** Number of requests whose head was received and whose answer has not left completely. */
    readonly running: number;
    /** What the process holds for callers. */
    readonly account: CallerAccount;
    /**
     * Applies the limits of a configuration.
     *
     * @param limits - the limits
     */
    applyLimits(limits: CallerLimits): void;
    /** Closes each connection after its next response. */
    beginStop(): void;
    /** Stops accepting connections, and closes each one as soon as it carries no request. */
    closeIdle(): void;
    /**
     * Closes all connections.
     *
     * @param timeoutMs - time for callers to take what was sent and to close them, in milliseconds
     */
    close(timeoutMs: number): Promise<void>;
}

const joinRepeatedHeaders = (request: IncomingMessage): Record<string, string | undefined> => {
    const headers: Record<string, string | undefined> = {};
    for (const [name, value] of Object.entries(request.headers)) {
        headers[name] = Array.isArray(value) ? value.join(",") : value;
    }
    return headers;
};

/** One request on its connection. */
interface Exchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly connection: CallerConnection;
    /** Time at which its head was read, in milliseconds. */
    readonly receivedMs: number;
    /** Resolves with whether it may be answered, once the answers before it have left. */
    readonly turn: Promise<boolean>;
}

const toCall = ({ receivedMs, request }: Exchange, body: Buffer): IncomingCall => ({
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: joinRepeatedHeaders(request),
    rawHeaders: request.rawHeaders,
    body,
    receivedMs,
});

/** Listener on Node's HTTP server. */
class HttpCallerListener implements CallerListener {
    public readonly account: CallerAccount;
    private readonly connections: CallerConnections;
    private readonly server: Server;
    private limits = DEFAULT_LIMITS;
    private isStopping = false;
    private isClosingIdle = false;

    public constructor(private readonly options: CallerListenerOptions) {
        this.account = new CallerAccount(options.bounds);
        this.connections = new CallerConnections({
            ...options,
            account: this.account,
            maxSilentMs: () => this.limits.idleTimeoutMs + TIMEOUT_MARGIN_MS,
        });
        this.server = createServer(
            { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true },
            (request, response) => {
                void this.handleRequest(request, response);
            },
        );
        this.connections.follow(this.server);
        // Silent callers are closed by the check of the connections, whatever the length of their bodies.
        this.server.requestTimeout = 0;
        // The size of the head bounds its lines; Node.js would drop those beyond a number.
        this.server.maxHeadersCount = 0;
        this.applyLimits(DEFAULT_LIMITS);
    }

    public get running(): number {
        return [...this.connections.values()].reduce((sum, { pending }) => sum + pending, 0);
    }

    public async listen(): Promise<void> {
        const { host, port } = splitAddress(this.options.address);
        this.server.listen(port, host);
        await once(this.server, "listening");
    }

    public applyLimits(limits: CallerLimits): void {
        this.limits = limits;
        this.server.headersTimeout = limits.headerTimeoutMs + TIMEOUT_MARGIN_MS;
        this.server.keepAliveTimeout = limits.idleTimeoutMs + TIMEOUT_MARGIN_MS;
    }

    public beginStop(): void {
        this.isStopping = true;
    }

    public closeIdle(): void {
        this.isClosingIdle = true;
        // `close` of the HTTP server would also destroy connections whose last answer has not left.
        TcpServer.prototype.close.call(this.server);
        for (const connection of this.connections.values()) {
            this.closeIfIdle(connection);
        }
    }

    public [Symbol.asyncDispose](): Promise<void> {
        return this.close(CLOSE_TIMEOUT_MS);
    }

    public async close(timeoutMs: number): Promise<void> {
        const { clock } = this.options;
        this.closeIdle();
        const deadlineMs = clock.nowMs() + timeoutMs;
        while (this.connections.size > 0 && clock.nowMs() < deadlineMs) {
            await sleep(clock, CLOSE_POLL_MS);
        }
        this.connections[Symbol.dispose]();
        for (const connection of this.connections.values()) {
            connection.destroy();
        }
    }

    private closeIfIdle(connection: CallerConnection): void {
        if (this.isClosingIdle && connection.pending === 0) {
            connection.close();
        }
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const receivedMs = this.options.clock.nowMs();
        const connection = this.connections.of(request.socket);
        if (!connection) {
            // It closed before the request came.
            request.resume();
            return;
        }
        let call: IncomingCall | undefined;
        const body = new RequestBodyReader(request, connection);
        const headerBytes = headerBytesOf(request.rawHeaders);
        const turn = connection.takeTurn(response, headHeapBytes(request), hasLeft => {
            if (call && response.writableEnded && !hasLeft) {
                this.options.onUnsent(call);
            }
            connection.addBody(-body.heldBytes);
            this.closeIfIdle(connection);
        });
        const exchange: Exchange = { request, response, connection, receivedMs, turn };
        const refusal = this.refusalOf(request, headerBytes);
        if (refusal) {
            await this.refuse(exchange, refusal, body.drop(this.limits.bodyBytes));
            return;
        }
        // The body is read at once: a connection that is not read does not show that its caller has left.
        const reading = body.read(this.limits.bodyBytes);
        if (!await turn) {
            // Its connection closes after the answer before it.
            return;
        }
        // Requests that were read before the head of an answer is sent are answered on the same connection.
        const reply = new HttpReply(response, () => this.isStopping && connection.pending === 1);
        const result = await reading;
        switch (result.kind) {
            case "tooLarge":
                await this.refuse(exchange, BODY_TOO_LARGE, result.rest);
                return;
            case "incomplete":
                // There is no complete request, and nobody to respond to.
                response.destroy();
                return;
            case "whole":
                call = toCall(exchange, result.bytes);
                await this.options.serve(call, reply);
        }
    }

    /** Tells whether the head of a request with a body decides that it is refused. */
    private refusalOf(request: IncomingMessage, headerBytes: number): Refusal | undefined {
        if (!hasBody(request)) {
            return undefined;
        }
        const { headers, url: path = "/" } = request;
        const refusal = this.options.refuseByHead({ path, headers, headerBytes });
        const isTooLarge = (announcedBytes(request) ?? 0) > this.limits.bodyBytes;
        return refusal ?? (isTooLarge ? BODY_TOO_LARGE : undefined);
    }

    /**
     * Refuses a request whose body is not needed. Its connection is kept if the body arrives soon.
     *
     * @param exchange - the request and its turn
     * @param refusal - status and reason
     * @param rest - resolves when the rest of its body has been read
     */
    private async refuse(exchange: Exchange, refusal: Refusal, rest: Promise<void>): Promise<void> {
        const { connection, request, response, turn } = exchange;
        const { clock } = this.options;
        if (!await turn) {
            return;
        }
        await settlesWithin(clock, rest, this.account.isCrowded ? 0 : REFUSED_BODY_MS);
        if (response.destroyed) {
            return;
        }
        const isKept = request.complete;
        // Once a response has ended, Node.js reads the rest of the body without a pause.
        const endAfterRest = async (body: Buffer): Promise<void> => {
            response.write(body);
            if (await settlesWithin(clock, rest, MAX_DROP_MS)) {
                response.end();
            }
            else {
                connection.destroy();
            }
        };
        const reply = isKept
            ? new HttpReply(response, () => this.isStopping && connection.pending === 1)
            : new HttpReply(response, () => true, body => void endAfterRest(body));
        this.options.refuse(toCall(exchange, NO_BYTES), reply, refusal);
    }
}

/**
 * Opens the listener for callers.
 *
 * @param options - listen address and request handler
 * @returns the listener
 * @throws if the address cannot be bound
 */
export const openCallerListener = async (options: CallerListenerOptions): Promise<CallerListener> => {
    const listener = new HttpCallerListener(options);
    await listener.listen();
    return listener;
};
