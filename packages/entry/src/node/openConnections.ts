/**
 * Open connections of the HTTP servers, closed without cutting off a response.
 *
 * @packageDocumentation
 */

import { createSystemClock } from "@magnolialock/kernel";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Http2Server, ServerHttp2Session } from "node:http2";
import type { Socket } from "node:net";
import { lingeringClose } from "./lingeringClose.ts";

const systemClock = createSystemClock();

/** Open connections of a server. */
export interface OpenConnections {
    /** Closes each connection after its next response; new ones are still served. */
    drain(): void;
    /** Closes connections without a response to give at once, and the others after their last response. */
    closeGracefully(): void;
    /** Closes all connections at once. */
    destroyAll(): void;
}

/** Handler of the requests of an HTTP/1.1 server. */
type RequestHandler = (request: IncomingMessage, response: ServerResponse) => unknown;

/** A connection of HTTP/1.1 and its unfinished responses, in the order of their requests. */
class Http1Connection {
    private readonly responses: ServerResponse[] = [];
    private isClosing = false;

    public constructor(private readonly socket: Socket) {
        // Node's HTTP server calls it after a last response.
        socket.destroySoon = () => lingeringClose(socket, systemClock);
    }

    /** Whether a request on this connection is to be handled; after a last response it would have no answer. */
    public accepts(response: ServerResponse, isDraining: boolean): boolean {
        if (this.isClosing) {
            return false;
        }
        this.responses.push(response);
        response.once("close", () => {
            this.responses.splice(this.responses.indexOf(response), 1);
            this.closeIfIdle();
        });
        if (isDraining) {
            this.drain();
        }
        return true;
    }

    /** Makes the newest response the last one, if it can still tell so. */
    public drain(): void {
        const newest = this.responses.at(-1);
        if (newest && !newest.headersSent) {
            newest.shouldKeepAlive = false;
            this.isClosing = true;
        }
    }

    public closeGracefully(): void {
        const newest = this.responses.at(-1);
        if (newest && !newest.req.complete && !newest.headersSent) {
            this.responses.pop();
        }
        this.drain();
        this.isClosing = true;
        this.closeIfIdle();
    }

    private closeIfIdle(): void {
        if (this.isClosing && this.responses.length === 0) {
            lingeringClose(this.socket, systemClock);
        }
    }
}

/**
 * Connections of an HTTP/1.1 server. Node.js closes connections as idle whose response has been handed over
 * but has not left, and keeps those on which no complete head has been received.
 */
export class Http1Connections implements OpenConnections {
    private readonly connections = new Map<Socket, Http1Connection>();
    private isDraining = false;

    /**
     * Follows the connections of a server.
     *
     * @param server - the server, before it listens
     */
    public follow(server: Server): void {
        server.on("connection", (socket: Socket) => {
            this.connections.set(socket, new Http1Connection(socket));
            socket.once("close", () => this.connections.delete(socket));
        });
    }

    /**
     * Wraps the handler of a server's requests.
     *
     * @param handler - the handler
     * @returns the handler for the server; it ignores requests that follow the last response of a connection
     */
    public wrap(handler: RequestHandler): RequestHandler {
        return (request, response) => {
            if (this.connections.get(request.socket)?.accepts(response, this.isDraining)) {
                handler(request, response);
            }
            else {
                request.resume();
            }
        };
    }

    public drain(): void {
        this.isDraining = true;
        this.connections.forEach(connection => connection.drain());
    }

    public closeGracefully(): void {
        this.connections.forEach(connection => connection.closeGracefully());
    }

    public destroyAll(): void {
        for (const socket of this.connections.keys()) {
            socket.destroy();
        }
    }
}

/** Connections of an HTTP/2 server. */
export class Http2Connections implements OpenConnections {
    private readonly sessions = new Set<ServerHttp2Session>();
    /** A session that is closing leaves its socket open until the bytes in it have been taken. */
    private readonly sockets = new Set<Socket>();
    private isDraining = false;

    /**
     * Follows the connections of a server.
     *
     * @param server - the server, before it listens
     */
    public follow(server: Http2Server): void {
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        server.on("session", session => {
            this.sessions.add(session);
            session.on("stream", () => {
                if (this.isDraining) {
                    session.close();
                }
            });
            session.once("close", () => this.sessions.delete(session));
        });
    }

    public drain(): void {
        this.isDraining = true;
        this.closeGracefully();
    }

    public closeGracefully(): void {
        this.sessions.forEach(session => session.close());
    }

    public destroyAll(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}
