/**
 * Connection of a caller: serves one request after the other, counts the answers that have not left yet, and
 * closes without discarding them.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { SegmentPool } from "../../shared/callers/bodyCollector.ts";
import type { CallerAccount, CallerHolding, CloseCause } from "../../shared/callers/callerAccount.ts";
import { lingeringClose } from "../lingeringClose.ts";
import type { BodyAccount } from "./bodyAccount.ts";
import { CallerReader, type ReadTurns } from "./callerReader.ts";

/** Bytes that belong to no request, and those of a head or a body that are not parsed yet. */
const MAX_STRAY_BYTES = 1024 * 1024;
/** Largest head of a request, in bytes; the parser limits it. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Bytes of framing for each byte of a body: a chunk of one byte takes five. */
const MAX_FRAMING_FACTOR = 8;
/** Bytes of framing of bodies that are read only to be dropped. */
const MAX_FRAMING_BYTES = 64 * 1024;
/** Requests of one connection that are read before the answers to them have left. */
const MAX_PIPELINED = 16;
/** Bytes that a connection may hold before it is read in turns while the process holds much: buffers are freed with a delay. */
const MAX_UNPACED_BYTES = 32 * 1024;
/** Open requests from which a further one counts as sent in a row; a caller that waits for its answers has fewer. */
const ROW_OPEN_REQUESTS = MAX_PIPELINED / 2;
/** Requests that a caller may send in a row while it has this many open. */
const MAX_REQUESTS_IN_ROW = 256;

const withResolvers = (): { readonly promise: Promise<void>; readonly resolve: () => void; } => {
    let resolve = (): void => {};
    const promise = new Promise<void>(onResolved => resolve = onResolved);
    return { promise, resolve };
};

/** Options of a {@link CallerConnection}. */
export interface CallerConnectionOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Account of the process. */
    readonly account: CallerAccount;
    /** Turns of the process. */
    readonly turns: ReadTurns;
    /** Segments of bodies of the process. */
    readonly segments: SegmentPool;
    /** Called when the connection is closed because of what it or all connections hold. */
    readonly onClosed: (cause: CloseCause) => void;
}

const connections = new WeakMap<Socket, CallerConnection>();

/**
 * Returns the connection of a socket; undefined where callers have no bounds.
 *
 * @param socket - the socket
 */
export const callerConnectionOf = (socket: Socket): CallerConnection | undefined => connections.get(socket);

/** One connection of a caller. */
export class CallerConnection implements BodyAccount {
    private openRequests = 0;
    /** Requests since none was open that were sent while many others were. */
    private requestsInRow = 0;
    /** Bodies that are being read only to be dropped. */
    private droppedBodies = 0;
    private readonly holding: CallerHolding;
    private readonly reader: CallerReader;
    private lastEnded: Promise<void> = Promise.resolve();
    private hasBegunClose = false;
    /** Bytes that the requests so far account for. */
    private expectedBytes = MAX_STRAY_BYTES;
    /** Bytes of heads, at most, and of bodies. */
    private contentBytes = 0;

    /**
     * @param socket - its socket
     * @param options - source of time, account and turns of the process
     */
    public constructor(private readonly socket: Socket, private readonly options: CallerConnectionOptions) {
        const { account, clock, onClosed, turns } = options;
        connections.set(socket, this);
        this.holding = account.open(cause => {
            onClosed(cause);
            this.destroy();
        }, clock.nowMs());
        this.reader = new CallerReader(socket, {
            turns,
            hasRoom: () => this.openRequests < MAX_PIPELINED,
            mustPace: () =>
                this.hasBegunClose || this.droppedBodies > 0
                || account.isCrowded && this.holding.bytes > MAX_UNPACED_BYTES,
            onRead: (waitingBytes, partialHeadBytes) => {
                this.holding.setBuffered(socket.writableLength + waitingBytes);
                this.holding.setPartialHead(partialHeadBytes);
                // A periodic check alone would let a fast caller send without bound until it is due.
                if (this.hasStrayBytes) {
                    this.closeFlooding();
                }
            },
        });
        socket.on("data", () => this.holding.activeMs = clock.nowMs());
        socket.once("close", () => this.holding.close());
        // Node's HTTP server calls it after an answer with `Connection: close`.
        socket.destroySoon = () => this.close();
    }

    public get segments(): SegmentPool {
        return this.options.segments;
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
     * empty lines before a request. A caller that goes on to send requests before it has its answers counts as well.
     */
    public get isFlooding(): boolean {
        return this.hasStrayBytes || this.requestsInRow > MAX_REQUESTS_IN_ROW;
    }

    private get hasStrayBytes(): boolean {
        return this.socket.bytesRead > this.expectedBytes;
    }

    private closeFlooding(): void {
        if (!this.socket.destroyed) {
            this.options.onClosed("flood");
            this.destroy();
        }
    }

    /**
     * Counts what is in the buffers of its socket, and closes it if its caller is flooding, or owes the rest of a request, waits
     * for no answer and has been silent.
     *
     * @param maxSilentMs - longest time without a byte of a request that has begun, in milliseconds
     */
    public check(maxSilentMs: number): void {
        const { holding, socket } = this;
        holding.setBuffered(socket.writableLength + socket.readableLength);
        if (socket.destroyed) {
            return;
        }
        const nowMs = this.options.clock.nowMs();
        if (this.reader.isWaiting) {
            holding.activeMs = nowMs;
        }
        const isStalled = holding.isUnfinished && !holding.isWaiting
            && nowMs - holding.activeMs > maxSilentMs;
        if (this.isFlooding || isStalled) {
            this.options.onClosed(isStalled ? "stalled" : "flood");
            this.destroy();
        }
    }

    public addBody(bytes: number): void {
        this.holding.addBody(bytes);
    }

    public addUnfinishedBodies(count: number): void {
        this.holding.addUnfinishedBodies(count);
    }

    /** Records that a body is read only to be dropped. */
    public beginDrop(): void {
        this.droppedBodies++;
        this.addUnfinishedBodies(1);
    }

    /** Records that a body has been dropped. */
    public endDrop(): void {
        this.droppedBodies--;
        this.addUnfinishedBodies(-1);
    }

    public recordBody(bytes: number): void {
        this.reader.recordBody(bytes);
        this.expectedBytes += bytes * (1 + MAX_FRAMING_FACTOR);
        this.contentBytes += bytes;
    }

    /**
     * Expects the body of a request that may be dropped without being recorded.
     *
     * @param bytes - its size
     */
    public expectBody(bytes: number): void {
        this.expectedBytes += bytes;
    }

    /**
     * Records bytes of a body that is dropped. A caller that goes on for long beyond those within the limit counts as flooding.
     *
     * @param bytes - their number
     * @param allowedBytes - number of those within the limit
     */
    public recordDropped(bytes: number, allowedBytes: number): void {
        this.reader.recordBody(bytes);
        this.expectedBytes += allowedBytes;
        this.contentBytes += bytes;
    }

    /**
     * Tells whether its bodies have come in chunks of few bytes each.
     *
     * @param bufferedBytes - bytes of a body that are parsed and not recorded yet
     */
    public isFramingHeavy(bufferedBytes: number): boolean {
        const { bytesRead, readableLength } = this.socket;
        return bytesRead - readableLength - bufferedBytes - this.contentBytes > MAX_FRAMING_BYTES;
    }

    /**
     * Counts a request until all bytes of its answer have left, or the connection has ended, and waits for its turn.
     * Node's HTTP server hands out pipelined requests at once, also those behind an answer that closes the
     * connection.
     *
     * @param response - response to the request
     * @param headBytes - heap that its head takes, in bytes
     * @param onEnd - called when the request no longer counts, with whether all bytes of an answer have left
     * @returns whether the request may be served: all answers before it have left, and the connection is open
     */
    public async takeTurn(
        response: ServerResponse,
        headBytes: number,
        onEnd: (hasLeft: boolean) => void,
    ): Promise<boolean> {
        if (this.openRequests === 0) {
            this.requestsInRow = 0;
        }
        this.openRequests++;
        this.requestsInRow += this.openRequests > ROW_OPEN_REQUESTS ? 1 : 0;
        this.reader.recordRequest(response.req);
        this.holding.addRequests(1, headBytes);
        this.expectedBytes += MAX_HEAD_BYTES;
        this.contentBytes += MAX_HEAD_BYTES;
        const previousEnded = this.lastEnded;
        const { promise, resolve } = withResolvers();
        this.lastEnded = promise;
        const end = (): void => {
            response.off("finish", end);
            response.off("close", end);
            this.openRequests--;
            this.holding.addRequests(-1, headBytes);
            resolve();
            this.reader.recordRoom();
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
        lingeringClose(this.socket, this.options.clock);
    }

    /** Closes the connection at once; bytes that have not left are lost. */
    public destroy(): void {
        this.socket.destroy();
    }
}
