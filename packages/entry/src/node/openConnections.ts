/**
 * Open connections of the HTTP servers, closed without cutting off a response.
 *
 * @packageDocumentation
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Http2Server, ServerHttp2Session } from "node:http2";
import type { Socket } from "node:net";

/** Open connections of a server. */
export interface OpenConnections {
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

    public constructor(private readonly socket: Socket) {}

    /** Whether a request on this connection is to be handled; after a last response it would have no answer. */
    public accepts(response: ServerResponse): boolean {
        if (this.isClosing) {
            return false;
        }
        this.responses.push(response);
        response.once("close", () => {
            this.responses.splice(this.responses.indexOf(response), 1);
            this.closeIfIdle();
        });
        return true;
    }

    public closeGracefully(): void {
        this.isClosing = true;
        const last = this.responses.at(-1);
        if (last && !last.req.complete && !last.headersSent) {
            this.responses.pop();
        }
        const final = this.responses.at(-1);
        if (final && !final.headersSent) {
            final.shouldKeepAlive = false;
        }
        this.closeIfIdle();
    }

    private closeIfIdle(): void {
        if (this.isClosing && this.responses.length === 0) {
            this.socket.destroySoon();
        }
    }
}

/**
 * Connections of an HTTP/1.1 server. Node.js closes connections as idle whose response has been handed over
 * but has not left, and keeps those on which no complete head has been received.
 */
export class Http1Connections implements OpenConnections {
    private readonly connections = new Map<Socket, Http1Connection>();

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
            if (this.connections.get(request.socket)?.accepts(response)) {
                handler(request, response);
            }
        };
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
            session.once("close", () => this.sessions.delete(session));
        });
    }

    public closeGracefully(): void {
        this.sessions.forEach(session => session.close());
    }

    public destroyAll(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}
