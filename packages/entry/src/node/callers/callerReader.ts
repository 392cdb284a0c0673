/**
 * Feeds the bytes of a caller to the HTTP parser in slices. It addresses callers whose bytes cost far more time than others:
 * one read of 64 KiB can hold thousands of requests or chunks, which the parser would hand out at once.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Smallest and largest slice, and that of a new connection, in bytes. */
const MIN_SLICE_BYTES = 1_024;
const FIRST_SLICE_BYTES = 4_096;
const MAX_SLICE_BYTES = 65_536;
/** Requests and chunks in one slice from which its bytes count as costly. */
const COSTLY_ITEMS = 16;
/** Time for the bytes of one read, and for what follows from them at once, from which they count as costly, in milliseconds. */
export const COSTLY_MS = 1;
/** Time for costly slices without a pause, in milliseconds. */
const TURN_MS = 2;
/** Longest pause after such a time, as a multiple of it: costly bytes of several callers take a quarter of the time. */
const MAX_PAUSE_FACTOR = 3;
/** Bytes that are parsed in one turn of the event loop; what closed connections held is freed at its end. */
const MAX_LOOP_TURN_BYTES = 256 * 1_024;
/** End of the head of a request. */
const HEAD_END = "\r\n\r\n";
/** Most bytes of such an end that come after others of it. */
const MAX_SPLIT_END_BYTES = HEAD_END.length - 1;

/**
 * Calls back when all that can go on without an event has gone on: promises that were resolved meanwhile included.
 *
 * @param callback - called then
 */
export const afterTasks = (callback: () => void): void => queueMicrotask(() => process.nextTick(callback));

/** Turns that the connections of one process take with their costly bytes. */
export class ReadTurns {
    /** In the order of their turns. */
    private readonly waiting = new Set<() => void>();
    private spentMs = 0;
    private isScheduled = false;
    /** Bytes parsed in this turn of the event loop, and in those before with few bytes. */
    private loopTurnBytes = 0;
    private isResetScheduled = false;

    /** @param clock - source of time */
    public constructor(public readonly clock: Clock) {}

    /** Whether the bytes of further connections wait for the next turn of the event loop. */
    public get isLoopTurnFull(): boolean {
        return this.loopTurnBytes >= MAX_LOOP_TURN_BYTES;
    }

    /**
     * Records bytes that were parsed.
     *
     * @param bytes - their number
     */
    public recordParsed(bytes: number): void {
        this.loopTurnBytes += bytes;
        // Few bytes are counted on: a callback for each read would cost more than they do.
        if (this.loopTurnBytes >= MAX_LOOP_TURN_BYTES && !this.isResetScheduled) {
            this.isResetScheduled = true;
            setImmediate(() => {
                this.isResetScheduled = false;
                this.loopTurnBytes = 0;
            });
        }
    }

    /**
     * Waits for a turn.
     *
     * @param costMs - time that the bytes before took, in milliseconds
     * @param onTurn - called when it is the connection's turn
     */
    public wait(costMs: number, onTurn: () => void): void {
        this.spentMs += costMs;
        this.waiting.add(onTurn);
        this.schedule();
    }

    /**
     * Takes back a request for a turn.
     *
     * @param onTurn - what was to be called
     */
    public cancel(onTurn: () => void): void {
        this.waiting.delete(onTurn);
    }

    private schedule(): void {
        if (this.isScheduled) {
            return;
        }
        this.isScheduled = true;
        const next = (): void => {
            this.isScheduled = false;
            for (const onTurn of this.waiting) {
                this.waiting.delete(onTurn);
                onTurn();
                break;
            }
            if (this.waiting.size > 0) {
                this.schedule();
            }
        };
        if (this.spentMs < TURN_MS) {
            setImmediate(next);
            return;
        }
        const pauseMs = this.spentMs * Math.min(MAX_PAUSE_FACTOR, this.waiting.size);
        this.spentMs = 0;
        this.clock.setTimer(pauseMs, next);
    }
}

/** Options of a {@link CallerReader}. */
export interface CallerReaderOptions {
    /** Turns of the process. */
    readonly turns: ReadTurns;
    /** Returns whether further requests of the connection may be read. */
    readonly hasRoom: () => boolean;
    /** Returns whether its bytes wait for turns although they are not costly. */
    readonly mustPace: () => boolean;
    /** Called after each read with the bytes that wait to be parsed, and those that the parser holds of a head. */
    readonly onRead: (waitingBytes: number, partialHeadBytes: number) => void;
}

/** Reader of one connection. */
export class CallerReader {
    private readonly parse: (bytes: Buffer) => void;
    private sliceBytes = FIRST_SLICE_BYTES;
    private items = 0;
    private requests = 0;
    /** Bytes of bodies since the last request of the slice. */
    private bodyBytes = 0;
    /** The last request that the parser has handed out, until it is complete. */
    private request: IncomingMessage | undefined;
    /** Bytes of a head, or of trailers, that the parser has taken. */
    private partialHeadBytes = 0;
    private readonly clock: Clock;
    private waitsFor: "nothing" | "turn" | "room" = "nothing";
    private readonly onTurn = (): void => this.readOn();
    /** Time of costly bytes for which no turn has been taken, in milliseconds. */
    private owedMs = 0;

    /**
     * @param socket - socket of a connection that an HTTP server has just taken over
     * @param options - turns of the process and state of the connection
     */
    public constructor(private readonly socket: Socket, private readonly options: CallerReaderOptions) {
        this.clock = options.turns.clock;
        const [listener] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        this.parse = listener ?? (() => {});
        socket.removeAllListeners("data");
        // From here on the server no longer reads the connection past its listener.
        socket.on("data", (bytes: Buffer) => this.read(bytes));
        // A closed connection would keep its requests in memory until its turn.
        socket.once("close", () => options.turns.cancel(this.onTurn));
    }

    /** Whether its caller may have sent bytes that are not read yet. */
    public get isWaiting(): boolean {
        return this.waitsFor !== "nothing" || this.socket.isPaused();
    }

    /**
     * Records a request that the parser has handed out.
     *
     * @param request - the request
     */
    public recordRequest(request: IncomingMessage): void {
        this.request = request;
        this.items++;
        this.requests++;
        this.bodyBytes = 0;
    }

    /**
     * Records a piece of a body that the parser has handed out.
     *
     * @param bytes - its size
     */
    public recordBody(bytes: number): void {
        this.items++;
        this.bodyBytes += bytes;
    }

    /** Reads on if it was waiting for room. */
    public recordRoom(): void {
        if (this.waitsFor === "room" && this.options.hasRoom()) {
            this.waitsFor = "nothing";
            if (this.owedMs > 0) {
                this.takeTurn();
            }
            else {
                this.readOn();
            }
        }
    }

    private readOn(): void {
        this.waitsFor = "nothing";
        this.socket.resume();
    }

    private read(bytes: Buffer): void {
        const startMs = this.clock.nowMs();
        const { turns } = this.options;
        if (turns.isLoopTurnFull || this.owedMs > 0) {
            this.takeTurn();
        }
        const rest = this.parseSlices(bytes, startMs);
        turns.recordParsed(bytes.length - rest.length);
        if (rest.length > 0 && !this.socket.destroyed) {
            this.socket.pause();
            // A short rest would keep all that was read.
            this.socket.unshift(rest.length * 2 > bytes.length ? rest : Buffer.from(rest));
        }
        this.options.onRead(this.socket.readableLength, this.partialHeadBytes);
        const hasParsed = rest.length < bytes.length;
        if (hasParsed && (rest.length > 0 || this.waitsFor === "turn")) {
            afterTasks(() => this.charge(this.clock.nowMs() - startMs));
        }
    }

    /** Parses bytes until a turn or room has to be waited for; returns those that are left. */
    private parseSlices(bytes: Buffer, startMs: number): Buffer {
        let rest = bytes;
        while (rest.length > 0 && !this.socket.destroyed) {
            if (this.waitsFor === "nothing" && !this.options.hasRoom()) {
                this.waitsFor = "room";
            }
            // The server resumes the connection when the reader of a body asks for more, and pauses it for unsent answers.
            if (this.waitsFor !== "nothing" || this.socket.isPaused()) {
                return rest;
            }
            const slice = rest.subarray(0, this.sliceBytes);
            rest = rest.subarray(this.sliceBytes);
            this.items = 0;
            this.requests = 0;
            this.bodyBytes = 0;
            const { isInBody } = this;
            this.parse(slice);
            this.countPartialHead(slice, isInBody);
            const isCostly = this.items > COSTLY_ITEMS || this.clock.nowMs() - startMs > COSTLY_MS;
            this.sliceBytes = isCostly ? MIN_SLICE_BYTES : Math.min(MAX_SLICE_BYTES, this.sliceBytes * 2);
            if ((isCostly || this.options.mustPace()) && !this.socket.isPaused()) {
                this.waitsFor = "turn";
                this.socket.pause();
            }
        }
        return rest;
    }

    /**
     * Counts what the parser holds of a head: all bytes since the end of the last request. The framing of a body is not kept, its
     * trailers are.
     */
    private countPartialHead(slice: Buffer, isInBody: boolean): void {
        if (this.items === 0 && isInBody === this.isInBody) {
            this.partialHeadBytes += slice.length;
        }
        else if (this.isInBody) {
            this.partialHeadBytes = 0;
        }
        else {
            this.partialHeadBytes = Math.max(0, slice.length - this.contentBytesOf(slice));
            this.request = undefined;
        }
    }

    /** Bytes of a slice up to the end of the last request in it. */
    private contentBytesOf(slice: Buffer): number {
        const isChunked = this.request?.headers["transfer-encoding"] !== undefined;
        const lineEnd = slice.lastIndexOf(HEAD_END);
        if (isChunked) {
            // A body in chunks ends like a head.
            return lineEnd < 0 ? MAX_SPLIT_END_BYTES : lineEnd + HEAD_END.length;
        }
        const headBytes = this.requests > 0 && lineEnd >= 0 ? lineEnd + HEAD_END.length : 0;
        return headBytes + this.bodyBytes;
    }

    /** Whether the rest of a request that the parser has handed out is to come. */
    private get isInBody(): boolean {
        return this.request?.complete === false;
    }

    /**
     * Charges the time of a read, with what followed from it at once, to the turn that is waited for. A caller that has sent more
     * than was parsed takes a turn as well if that time was long.
     */
    private charge(costMs: number): void {
        if (this.waitsFor === "turn") {
            this.waitInTurns(costMs);
        }
        else if (costMs > COSTLY_MS) {
            this.owedMs += costMs;
        }
    }

    /** Waits for a turn unless it waits already. */
    private takeTurn(): void {
        if (this.waitsFor === "nothing") {
            this.waitsFor = "turn";
            this.waitInTurns(this.owedMs);
            this.owedMs = 0;
        }
    }

    private waitInTurns(costMs: number): void {
        if (!this.socket.destroyed) {
            this.options.turns.wait(costMs, this.onTurn);
        }
    }
}
