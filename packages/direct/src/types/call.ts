/**
 * One caller's request, the way back to the caller, and the way to a backend server, apart from sockets.
 *
 * @packageDocumentation
 */

import type { Address } from "@magnolialock/kernel";

/** Header names and values by turns, names in any case. */
export type FlatHeaders = readonly string[];

/** A request as it was read. */
export interface IncomingCall {
    /** HTTP method. */
    readonly method: string;
    /** Path with query, as it was sent. */
    readonly path: string;
    /** Headers by lower-case name; of a repeated header, all values joined by commas. */
    readonly headers: Readonly<Record<string, string | undefined>>;
    /** Headers as they were sent. */
    readonly rawHeaders: FlatHeaders;
    /** Whole body. */
    readonly body: Buffer;
    /** When the request was read, on the process's clock, in milliseconds. */
    readonly receivedMs: number;
}

/** Head of an answer. */
export interface ResponseHead {
    /** HTTP status. */
    readonly status: number;
    /** Headers by lower-case name. */
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    /** Whether only the end of the connection ends the body: nobody can tell then whether it is complete. */
    readonly isCloseDelimited?: boolean;
}

/** The way back to a caller. */
export interface CallerReply {
    /** Aborts when the caller has closed its connection or the answer was finished. */
    readonly disconnected: AbortSignal;
    /**
     * Sends a whole answer.
     *
     * @param head - status and headers
     * @param body - whole body
     */
    sendWhole(head: ResponseHead, body: Buffer): void;
    /**
     * Starts an answer whose body follows in pieces.
     *
     * @param head - status and headers
     */
    startStream(head: ResponseHead): void;
    /**
     * Sends a piece.
     *
     * @param bytes - the piece
     * @returns false when the caller reads slowly; {@link CallerReply.onDrain} tells when to go on
     */
    write(bytes: Buffer): boolean;
    /**
     * Calls back once when the caller has read what was written.
     *
     * @param listener - what to call
     */
    onDrain(listener: () => void): void;
    /** Ends a stream as complete. */
    end(): void;
    /** Ends an answer so that it cannot be taken for complete. */
    abort(): void;
}

/** A request for one backend server. */
export interface UpstreamRequest {
    /** HTTP method. */
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    /** Headers to send. */
    readonly headers: FlatHeaders;
    /** Whole body. */
    readonly body: Buffer;
    /** Longest idle time of a kept connection that may be used, in milliseconds; 0 asks for a new one. */
    readonly maxIdleMs: number;
    /** Most idle connections that are kept to the server. */
    readonly maxIdleConnections: number;
}

/** Receives an answer. */
export interface UpstreamConsumer {
    /**
     * The head arrived.
     *
     * @param head - status and headers
     */
    onHead(head: ResponseHead): void;
    /**
     * Bytes of the body arrived.
     *
     * @param bytes - the bytes
     */
    onData(bytes: Buffer): void;
}

/** How a call to a backend server ended. */
export type UpstreamEnd =
    /** The answer is complete. */
    | { readonly kind: "complete"; }
    /** Not one byte of the request has left. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The request may have arrived, the answer is missing or cut. */
    | { readonly kind: "broken"; readonly message: string; };

/** A call under way. */
export interface UpstreamCall {
    /** Resolves when the call is over. */
    readonly ended: Promise<UpstreamEnd>;
    /**
     * Gives the call up and closes its connection.
     *
     * @param reason - why, for logs
     */
    abort(reason: string): void;
    /** Stops reading. */
    pause(): void;
    /** Goes on reading. */
    resume(): void;
}

/** Opens calls to backend servers. */
export interface UpstreamClient {
    /**
     * Starts a call.
     *
     * @param server - identifier of the backend server, which keys the kept connections
     * @param address - where it listens
     * @param request - what to send
     * @param consumer - who gets the answer
     */
    start(
        server: string,
        address: Address,
        request: UpstreamRequest,
        consumer: UpstreamConsumer,
    ): UpstreamCall;
    /**
     * Closes the kept connections of a backend server that is gone.
     *
     * @param server - its identifier
     */
    closeIdle(server: string): void;
}
