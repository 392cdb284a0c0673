/**
 * Connections of the callers of one HTTP/1.1 server, within the bounds of its process.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@magnolialock/kernel";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { SegmentPool } from "../../shared/callers/bodyCollector.ts";
import { type CallerAccount, type CloseCause, requestHeapBytes } from "../../shared/callers/callerAccount.ts";
import { CallerConnection, type CallerConnectionOptions } from "./callerConnection.ts";
import { ReadTurns } from "./callerReader.ts";

/** Handler of the requests of an HTTP/1.1 server. */
type RequestHandler = (request: IncomingMessage, response: ServerResponse) => unknown;

/**
 * Estimates the heap that a request takes until its answer has left, by its head.
 *
 * @param request - the request
 * @returns the estimate, in bytes
 */
export const headHeapBytes = ({ rawHeaders, url = "" }: IncomingMessage): number =>
    requestHeapBytes(
        rawHeaders.length / 2,
        rawHeaders.reduce((sum, text) => sum + text.length, url.length),
    );

/** Size of the body of a request by its head, in bytes; infinite if it is not announced. */
const bodyBytesOf = ({ headers }: IncomingMessage): number =>
    headers["transfer-encoding"] === undefined
        ? Number(headers["content-length"] ?? 0)
        : Number.POSITIVE_INFINITY;

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** What the process holds for callers; its other listeners may count in it as well. */
    readonly account: CallerAccount;
    /** Returns the longest time without a byte of a request that has begun, in milliseconds. */
    readonly maxSilentMs: () => number;
    /** Called when a connection is closed because of what it or all connections hold. */
    readonly onClosed: (cause: CloseCause) => void;
}

/** Time between checks of the connections, in milliseconds. */
const CHECK_PERIOD_MS = 50;

/** Connections of the callers of one server. */
export class CallerConnections implements Disposable {
    private readonly connections = new Map<Socket, CallerConnection>();
    private readonly connectionOptions: CallerConnectionOptions;
    private check: Timer | undefined;

    /** @param options - account and source of time */
    public constructor(private readonly options: CallerConnectionsOptions) {
        const { account, clock, onClosed } = options;
        this.connectionOptions = {
            account,
            clock,
            onClosed,
            segments: new SegmentPool(),
            turns: new ReadTurns(clock),
        };
    }

    /** Number of open connections. */
    public get size(): number {
        return this.connections.size;
    }

    /**
     * Follows the connections of a server, and checks them once it listens.
     *
     * @param server - the server, before it listens
     */
    public follow(server: Server): void {
        server.on("connection", (socket: Socket) => {
            this.connections.set(socket, new CallerConnection(socket, this.connectionOptions));
            socket.once("close", () => this.connections.delete(socket));
        });
        server.once("listening", () => this.scheduleCheck());
    }

    /**
     * Returns the connection of a socket, or undefined if it is closed.
     *
     * @param socket - the socket
     */
    public of(socket: Socket): CallerConnection | undefined {
        return this.connections.get(socket);
    }

    /** Open connections. */
    public values(): Iterable<CallerConnection> {
        return this.connections.values();
    }

    /**
     * Wraps the handler of a server's requests, so that they count until their answers have left.
     *
     * @param handler - the handler
     * @param maxBodyBytes - largest accepted body, in bytes
     */
    public wrap(handler: RequestHandler, maxBodyBytes: number): RequestHandler {
        return (request, response) => {
            const connection = this.of(request.socket);
            // The server itself sends the answers in the order of the requests.
            void connection?.takeTurn(response, headHeapBytes(request), () => {});
            // Node.js reads and drops a body that the handler leaves.
            connection?.expectBody(Math.min(bodyBytesOf(request), maxBodyBytes));
            handler(request, response);
        };
    }

    /** Ends the checks. */
    public [Symbol.dispose](): void {
        this.check?.cancel();
    }

    /** Counts buffers, and ends connections whose callers send what belongs to no request, or have fallen silent in one. */
    private scheduleCheck(): void {
        this.check = this.options.clock.setTimer(CHECK_PERIOD_MS, () => {
            for (const connection of this.connections.values()) {
                connection.check(this.options.maxSilentMs());
            }
            this.scheduleCheck();
        });
    }
}
