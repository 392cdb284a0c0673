/**
 * Interfaces for a caller's request, the reply to the caller, and requests to backend servers, independent of
 * sockets.
 *
 * @packageDocumentation
 */

import type { Address } from "@magnolialock/kernel";

/** Header names and values, alternating; names in any case. */
export type FlatHeaders = readonly string[];

/** A request as received from a caller. */
export interface IncomingCall {
    /** HTTP method. */
    readonly method: string;
    /** Path with query, exactly as sent. */
    readonly path: string;
    /** Headers by lower-case name; the values of a repeated header are joined by commas. */
    readonly headers: Readonly<Record<string, string | undefined>>;
    /** Headers exactly as sent. */
    readonly rawHeaders: FlatHeaders;
    /** Complete body. */
    readonly body: Buffer;
    /** Time at which the request was received, on the process's clock, in milliseconds. */
    readonly receivedMs: number;
}

/** Head of a request, before its body has been read. */
export interface RequestHead {
    /** Path with query, exactly as sent. */
    readonly path: string;
    /** Headers by lower-case name; values of a repeated header may be a list. */
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    /** Size of the names and values of all headers, in bytes. */
    readonly headerBytes: number;
}

/** Refusal of a request; it has not run and never will. */
export interface Refusal {
    /** HTTP status. */
    readonly status: number;
    /** Reason, sent in the body. */
    readonly reason: string;
}

/** Head of a response. */
export interface ResponseHead {
    /** HTTP status. */
    readonly status: number;
    /** Headers by lower-case name. */
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    /**
     * Whether the body is delimited only by the close of the connection: its completeness cannot be verified
     * then.
     */
    readonly isCloseDelimited?: boolean;
    /**
     * Whether an earlier request was sent over the connection, so that the head may be a repetition of its answer.
     */
    readonly isOnReusedConnection?: boolean;
}

/** Reply to a caller. */
export interface CallerReply {
    /** Aborted when the connection closes before the reply is finished. */
    readonly disconnected: AbortSignal;
    /**
     * Whether the caller can tell the end of a body whose length is not known at its start. A caller of HTTP/1.0 knows
     * no chunks, and takes the close of the connection for the end.
     */
    readonly canStream: boolean;
    /**
     * Sends a complete response.
     *
     * @param head - status and headers
     * @param body - complete body
     */
    sendWhole(head: ResponseHead, body: Buffer): void;
    /**
     * Starts a response whose body follows in chunks.
     *
     * @param head - status and headers
     */
    startStream(head: ResponseHead): void;
    /**
     * Sends a chunk of the body.
     *
     * @param bytes - the chunk
     * @returns false if the caller reads too slowly; {@link CallerReply.onDrain} signals when to continue
     */
    write(bytes: Buffer): boolean;
    /**
     * Registers a listener that is called once when the write buffer has drained.
     *
     * @param listener - the listener
     */
    onDrain(listener: () => void): void;
    /** Ends a stream as complete. */
    end(): void;
    /** Closes the connection, so that the response cannot be taken for complete. */
    abort(): void;
}

/** A request to one backend server. */
export interface UpstreamRequest {
    /** HTTP method. */
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    /** Headers to send. */
    readonly headers: FlatHeaders;
    /** Complete body. */
    readonly body: Buffer;
    /** Longest time for which a reused connection may have been idle, in milliseconds; 0 opens a new one. */
    readonly maxIdleMs: number;
    /** Returns the maximum number of idle connections that are kept to the server; asked once the response has ended. */
    readonly maxIdleConnections: () => number;
}

/** Receives the response of a backend server. */
export interface UpstreamConsumer {
    /**
     * Called when the head arrives.
     *
     * @param head - status and headers
     */
    onHead(head: ResponseHead): void;
    /**
     * Called when bytes of the body arrive.
     *
     * @param bytes - the bytes
     */
    onData(bytes: Buffer): void;
}

/** How a request to a backend server ended. */
export type UpstreamEnd =
    /** The response is complete. */
    | { readonly kind: "complete"; }
    /** No byte of the request was sent. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The request may have arrived; the response is missing or truncated. */
    | { readonly kind: "broken"; readonly message: string; };

/** A running request to a backend server. */
export interface UpstreamCall {
    /** Resolves when the request has ended. */
    readonly ended: Promise<UpstreamEnd>;
    /**
     * Aborts the request and closes its connection.
     *
     * @param reason - reason, for logs
     */
    abort(reason: string): void;
    /** Pauses reading the response. */
    pause(): void;
    /** Resumes reading the response. */
    resume(): void;
}

/** Whether a backend server accepts a connection; a silent one neither accepts nor refuses it in time. */
export type ProbeResult = "accepted" | "refused" | "silent";

/** What became of the connections to a backend server around the end of one of them. */
export interface ConnectionEnds {
    /** Number of connections that were open then and still are. */
    readonly stillOpen: number;
    /**
     * Number of those on which the server has sent something. Others may wait for a process to accept them, while a supervisor
     * holds the listening socket.
     */
    readonly stillAnswering: number;
    /** Number of connections that the server has ended in the same moment, the one in question included. */
    readonly endedTogether: number;
    /** Number of those that ended right after their last data, as they do if the server ends an answer itself. */
    readonly endedAfterData: number;
}

/** Observes the connections to a backend server from the end of one of them on. */
export interface EndsObserver {
    /** Returns what has become of the connections until now. */
    read(): ConnectionEnds;
    /** Returns what has become of them once the ends of all connections of a killed server have arrived. */
    settled(): Promise<ConnectionEnds>;
}

/** Health check that tells which backend server answers at an address. */
export interface ServerIdentityRequest {
    /** Address of the backend server. */
    readonly address: Address;
    /** Path of its health check. */
    readonly healthPath: string;
    /** Header of the answer with the identifier of the backend server, in lower case. */
    readonly idHeader: string;
}

/** What answers at the address of a backend server. */
export type ServerIdentity =
    /** A backend server, which may not tell its identifier. */
    | { readonly kind: "answered"; readonly id: string | undefined; }
    /** Nothing that answers in time. */
    | { readonly kind: "silent"; };

/** Client for requests to backend servers. */
export interface UpstreamClient {
    /**
     * Starts a request.
     *
     * @param server - identifier of the backend server; idle connections are kept by it
     * @param address - address of the backend server
     * @param request - the request
     * @param consumer - receiver of the response
     */
    start(
        server: string,
        address: Address,
        request: UpstreamRequest,
        consumer: UpstreamConsumer,
    ): UpstreamCall;
    /**
     * Opens a connection to a backend server and closes it again, without a request.
     *
     * @param address - address of the backend server
     */
    probe(address: Address): Promise<ProbeResult>;
    /**
     * Observes what becomes of the connections to a backend server right after one of them has ended.
     *
     * @param server - identifier of the backend server
     */
    observeEnds(server: string): EndsObserver;
    /**
     * Asks which backend server answers at an address.
     *
     * @param asked - address and health check
     */
    identify(asked: ServerIdentityRequest): Promise<ServerIdentity>;
    /**
     * Closes the idle connections to a backend server that was removed.
     *
     * @param server - identifier of the backend server
     */
    closeIdle(server: string): void;
}
