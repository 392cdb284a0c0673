/**
 * Connection of a caller: serves one request after the other, counts the answers that have not left yet, and
 * closes without discarding them.
 *
 * @packageDocumentation
 */

import { lingeringClose } from "@magnolialock/entry/src/node/lingeringClose.ts";
import type { Clock } from "@magnolialock/kernel";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Bytes that belong to no request, and those of a head or a body that are not parsed yet. */
const MAX_STRAY_BYTES = 1024 * 1024;
/** Largest head of a request, in bytes; the parser limits it. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Bytes of framing for each byte of a body: a chunk of one byte takes five. */
const MAX_FRAMING_FACTOR = 8;
/** Bytes of framing, and read in advance, of a body that is read on although it is too large. */
const MAX_FRAMING_BYTES = 64 * 1024;
/** Requests that a caller may send before it has the answers to them. */
const MAX_OPEN_REQUESTS = 1_000;

const withResolvers = (): { readonly promise: Promise<void>; readonly resolve: () => void; } => {
    let resolve = (): void => {};
    const promise = new Promise<void>(onResolved => resolve = onResolved);
    return { promise, resolve };
};

/** One connection of a caller. */
export class CallerConnection {
    private openRequests = 0;
    private lastEnded: Promise<void> = Promise.resolve();
    private hasBegunClose = false;
    /** Bytes that the requests so far account for. */
    private expectedBytes = MAX_STRAY_BYTES;
    /** Bytes of heads, at most, and of bodies. */
    private contentBytes = 0;

    /**
     * @param socket - its socket
     * @param clock - source of time
     */
    public constructor(private readonly socket: Socket, private readonly clock: Clock) {
        // Node's HTTP server calls it after an answer with `Connection: close`.
        socket.destroySoon = () => this.close();
    }

    /** Number of requests whose head was read and whose answer has not left completely. */
    public get pending(): number {
        return this.openRequests;
    }

    /** Whether it is closing or closed: no further request on it gets an answer. */
    public get isClosing(): boolean {
        return this.hasBegunClose || this.socket.destroyed;
    }

    /**
     * Whether its caller has sent far more than its requests hold: the parser limits neither the digits of a chunk's size nor
     * empty lines before a request. A caller with very many unanswered requests counts as well.
     */
    public get isFlooding(): boolean {
        return this.socket.bytesRead > this.expectedBytes || this.openRequests > MAX_OPEN_REQUESTS;
    }

    /**
     * Records bytes of the body of a request.
     *
     * @param bytes - their number
     */
    public recordBody(bytes: number): void {
        this.expectedBytes += bytes * (1 + MAX_FRAMING_FACTOR);
        this.contentBytes += bytes;
    }

    /**
     * Records bytes of a body that is too large; a caller that goes on for long counts as flooding.
     *
     * @param bytes - their number
     */
    public recordDropped(bytes: number): void {
        this.contentBytes += bytes;
    }

    /** Whether its bodies have come in chunks of few bytes each. */
    public get isFramingHeavy(): boolean {
        return this.socket.bytesRead - this.contentBytes > MAX_FRAMING_BYTES;
    }

    /**
     * Counts a request until all bytes of its answer have left, or the connection has ended, and waits for its turn.
     * Node's HTTP server hands out pipelined requests at once, also those behind an answer that closes the
     * connection.
     *
     * @param response - response to the request
     * @param onEnd - called when the request no longer counts, with whether all bytes of an answer have left
     * @returns whether the request may be served: all answers before it have left, and the connection is open
     */
    public async takeTurn(response: ServerResponse, onEnd: (hasLeft: boolean) => void): Promise<boolean> {
        this.openRequests++;
        this.expectedBytes += MAX_HEAD_BYTES;
        this.contentBytes += MAX_HEAD_BYTES;
        const previousEnded = this.lastEnded;
        const { promise, resolve } = withResolvers();
        this.lastEnded = promise;
        const end = (): void => {
            response.off("finish", end);
            response.off("close", end);
            this.openRequests--;
            resolve();
            // Node.js also emits `finish` when the socket was destroyed before the last write.
            onEnd(response.writableEnded && !this.socket.destroyed);
        };
        response.once("finish", end);
        response.once("close", end);
        await previousEnded;
        if (this.isClosing) {
            end();
            return false;
        }
        return true;
    }

    /** Closes the connection once what was written has left, and reads on for a while after that. */
    public close(): void {
        if (this.isClosing) {
            return;
        }
        this.hasBegunClose = true;
        lingeringClose(this.socket, this.clock);
    }

    /** Closes the connection at once; bytes that have not left are lost. */
    public destroy(): void {
        this.socket.destroy();
    }
}
